import type { CatchUp } from "../configuration/mod.ts";
import type { InstanceRecord } from "../membership/mod.ts";
import type { ConfigurationEntry } from "../resources/mod.ts";
import type { Gateway } from "./gateway.ts";

const PULL_TRIES = 3;

/** Tells the peers of the own region of entries, once each. */
export function pushToRegion(
  gateway: Gateway,
  entries: readonly ConfigurationEntry[],
): void {
  const newest = entries.at(-1)?.sequence ?? 0;
  gateway.membership.members
    .filter(({ status }) => status === "live" || status === "suspect")
    // Who has reported it needs no push; nor is one relayed that came from there.
    .filter(({ configuration }) => configuration < newest)
    .forEach(({ record }) =>
      void gateway.parts.peers.call(record, "configuration.push", { entries })
    );
}

/** Asks peers for what comes after a sequence number, the most advanced first. */
export async function pullFromPeers(
  gateway: Gateway,
  after: number,
): Promise<CatchUp | undefined> {
  const { membership, parts } = gateway;
  const near = membership.members
    .filter(({ status }) => status !== "dead" && status !== "leaving")
    .toSorted((a, b) => b.configuration - a.configuration)
    .map(({ record }) => record);
  const far = membership.listed.filter(({ region }) =>
    region !== parts.self.region
  );
  const start = Math.floor(parts.random.nextFloat() * Math.max(1, far.length));
  const order: readonly InstanceRecord[] = [
    ...near.slice(0, PULL_TRIES),
    ...far.slice(start),
    ...far.slice(0, start),
  ].slice(0, 2 * PULL_TRIES);
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
