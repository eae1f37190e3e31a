import { err, ok } from "neverthrow";
import { INITIAL_LIMITS } from "../http_routes/mod.ts";
import { toBackendId, toFailureDomainId, toRegionId } from "../ids/mod.ts";
import type { StateCopy, StateDecoder } from "../state/mod.ts";
import type { StoreEntry } from "../store/mod.ts";

/**
 * Decodes the documents of a test: `config` holds a version, `server/ID` holds `ready` or
 * `draining` and optionally the sequence number of the write, and the presence of
 * `evacuated/DOMAIN` evacuates a failure domain. The value `malformed` is refused.
 */
export const TEST_DECODER: StateDecoder = {
  decode: (key, value) => {
    const [kind, name] = key.split("/");
    const [state, sequence] = value.split(" ");
    if (value === "malformed") return err("malformed");
    switch (kind) {
      case "config":
        return ok({
          kind: "configuration",
          configuration: {
            version: Number(value),
            routes: [],
            services: [],
            limits: INITIAL_LIMITS,
            teams: undefined,
          },
        });
      case "server":
        return ok({
          kind: "server",
          server: {
            id: toBackendId(name!),
            name: name!,
            startedMs: undefined,
            service: "app",
            address: `${name}:1`,
            failureDomain: toFailureDomainId("a"),
            region: toRegionId("north"),
            slots: 4,
            isDraining: state === "draining",
            coldForMs: 0,
            sequence: Number(sequence ?? 0),
          },
        });
      case "evacuated":
        return ok({
          kind: "evacuation",
          failureDomain: toFailureDomainId(name!),
        });
      default:
        return ok({ kind: "other" });
    }
  },
};

/**
 * Returns a full copy of the state that a peer has.
 *
 * @param revision Store revision up to which the peer has followed the store.
 * @param entries All entries of the store at that revision.
 */
export function createFullCopy(
  revision: number,
  entries: readonly StoreEntry[],
): StateCopy {
  return {
    era: 0,
    configurationVersion: 0,
    revision,
    afterRevision: 0,
    entries,
    removed: [],
    isAfterOutage: false,
  };
}
