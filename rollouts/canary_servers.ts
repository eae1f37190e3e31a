import type { BackendId, RolloutId } from "../ids/mod.ts";
import { computeShareHash } from "./compute_share_hash.ts";
import type { VersionedServer } from "./rollout_types.ts";

/** Canary of one region. */
export interface RegionCanary {
  readonly servers: ReadonlySet<BackendId>;
  /** Share of the region's calls that loads these servers as all calls will load all servers. */
  readonly naturalShare: number;
}

/**
 * Returns the canary servers of a region: so few that the canary's share of the calls loads
 * them as they will be loaded later, at least one. All instances rank them alike.
 *
 * @param id Order.
 * @param ready Servers of the destination in the region that may get calls.
 * @param share Share of the calls that the canary may get.
 * @param suspects Servers that look faulty; used only if there are no others.
 */
export function pickCanaryServers(
  id: RolloutId,
  ready: readonly VersionedServer[],
  share: number,
  suspects: ReadonlySet<BackendId>,
): RegionCanary {
  const sound = ready.filter((server) => !suspects.has(server.id));
  const candidates = sound.length > 0 ? sound : ready;
  const count = Math.ceil(share * ready.length);
  const ranked = candidates
    .map((server) => ({
      id: server.id,
      weight: computeShareHash(`${id}\u0000${server.id}`),
    }))
    .sort((a, b) => b.weight - a.weight);
  const servers = ranked.slice(0, count).map((server) => server.id);
  return {
    servers: new Set(servers),
    naturalShare: ready.length === 0 ? 0 : servers.length / ready.length,
  };
}
