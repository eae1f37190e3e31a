import type { PeerHandlers } from "../peers/mod.ts";
import type { Gateway } from "./gateway.ts";

/**
 * Creates the handlers of JSON-RPC calls from peers.
 *
 * @param gateway Gateway of the instance.
 */
export function createPeerHandlers(gateway: Gateway): PeerHandlers {
  const { clock } = gateway.parts;
  return {
    "configuration.push": ({ entries }) => {
      gateway.controller.receive(entries);
      return { sequence: gateway.configuration.sequence };
    },
    "configuration.pull": ({ after }) => gateway.configuration.readAfter(after),
    "journal.begin": async ({ run }) => {
      const begun = await gateway.journal.beginLocally(run);
      return begun.isOk()
        ? { kind: "ok", value: begun.value }
        : { kind: "failed", failure: begun.error };
    },
    "journal.finish": ({ key, attempt, end }) => {
      void gateway.journal.finishLocally(key, attempt, end);
      return { kind: "ok" };
    },
    "limits.borrow": ({ wish }) => {
      const limit = gateway.configuration.view.teams.get(wish.team)?.spec
        .requestsPerSecond ?? 0;
      return gateway.limits.lend(wish, limit, clock.nowMs());
    },
    "credits.grant": ({ from, service, wanted }) => {
      const capacity = {
        spare: gateway.readPool(service).estimateFreeSlots(),
        gateways: gateway.membership.liveIds.length,
      };
      return gateway.ledger.grant(
        { to: from, service, wanted },
        capacity,
        clock.nowMs(),
      );
    },
  };
}
