import type { CatchUpAnswer } from "../configuration/mod.ts";
import type { InstanceRecord } from "../membership/mod.ts";
import type { ConfigurationEntry } from "../resources/mod.ts";
import type { Gateway } from "./gateway.ts";

/** Maximum number of local peers asked for entries, and half the maximum of all peers. */
const MAX_LOCAL_PULLS = 3;

/** Pushes entries once to each peer of the own region that has not reported them yet. */
export function pushToRegion(
  gateway: Gateway,
  entries: readonly ConfigurationEntry[],
): void {
  const newest = entries.at(-1)?.sequence ?? 0;
  gateway.membership.members
    .filter(({ status }) => status === "live" || status === "suspect")
    // A peer that has reported the newest entry, or sent it here, needs no push.
    .filter(({ configuration }) => configuration < newest)
    .forEach(({ record }) =>
      void gateway.parts.peers.call(record, "configuration.push", { entries })
    );
}

/**
 * Pulls the entries after a sequence number from peers, the most advanced of the own region
 * first.
 *
 * @returns First useful answer, or `undefined` if no peer had one.
 */
export async function pullFromPeers(
  gateway: Gateway,
  after: number,
): Promise<CatchUpAnswer | undefined> {
  const { membership, parts } = gateway;
  const localPeers = membership.members
    .filter(({ status }) => status !== "dead" && status !== "leaving")
    .toSorted((a, b) => b.configuration - a.configuration)
    .map(({ record }) => record);
  const remotePeers = membership.listedInstances.filter(({ region }) =>
    region !== parts.self.region
  );
  const start = Math.floor(
    parts.random.nextFloat() * Math.max(1, remotePeers.length),
  );
  const order: readonly InstanceRecord[] = [
    ...localPeers.slice(0, MAX_LOCAL_PULLS),
    ...remotePeers.slice(start),
    ...remotePeers.slice(0, start),
  ].slice(0, 2 * MAX_LOCAL_PULLS);
  for (const record of order) {
    const answer = await parts.peers.call(record, "configuration.pull", {
      after,
    });
    if (answer.isErr()) continue;
    const isUseful = answer.value.kind === "snapshot" ||
      answer.value.entries.length > 0;
    if (isUseful) return answer.value;
  }
  return undefined;
}
