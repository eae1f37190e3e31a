import { err, ok } from "neverthrow";
import { INITIAL_LIMITS } from "../http_routes/mod.ts";
import { toBackendId, toFailureDomainId, toRegionId } from "../ids/mod.ts";
import type { StateCopy, StateDecoder } from "../state/mod.ts";
import type { StoreEntry } from "../store/mod.ts";

/**
 * Documents of a test: `config` holds a version, `server/ID` is `ready` or
 * `draining`, and maybe the number of the write, `evacuated/DOMAIN` is there or not. The
 * value `malformed` is none.
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
 * Returns a copy of everything that a peer knows.
 *
 * @param revision Up to which it knows the store.
 * @param entries All that is there.
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
