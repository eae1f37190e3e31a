import { type Membership, rankNames } from "../membership/mod.ts";
import type { GatewayParts } from "../ports/mod.ts";

/** Parts of an instance that {@linkcode createPublishEntries} uses. */
export interface PublishEntriesGateway {
  readonly parts: Pick<GatewayParts, "clock" | "directory" | "self">;
  readonly isReady: boolean;
  readonly membership: Membership;
}

/** Interval at which unchanged entries are published again. */
const REPUBLISH_MS = 10_000;

/**
 * Returns the controller that publishes the entries of this instance's region in the
 * directory.
 *
 * @param gateway Instance that the controller runs in.
 */
export function createPublishEntries(
  gateway: PublishEntriesGateway,
): () => Promise<void> {
  const { clock, directory, self } = gateway.parts;
  let published = "";
  let publishedMs = 0;
  return async () => {
    const live = gateway.membership.liveIds;
    const isPublisher =
      rankNames(`directory ${self.region}`, live)[0] === self.id;
    if (!isPublisher || !gateway.isReady) return;
    const urls = live.map((id) =>
      id === self.id
        ? self.callerUrl
        : gateway.membership.readRecord(id)?.callerUrl
    ).filter((url) => url !== undefined);
    const text = urls.toSorted().join(" ");
    const nowMs = clock.nowMs();
    if (text === published && nowMs - publishedMs < REPUBLISH_MS) return;
    const result = await directory.publish(self.region, urls);
    if (result.isErr()) return;
    published = text;
    publishedMs = nowMs;
  };
}
