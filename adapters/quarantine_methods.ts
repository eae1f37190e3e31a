import type { RpcMethods } from "./json_rpc_server.ts";
import type { Clock } from "../clock/mod.ts";
import { toCallFingerprint } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { CallQuarantine } from "../quarantine/mod.ts";

/** What the methods are created from. */
export interface QuarantineMethodsParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly quarantine: CallQuarantine;
}

/** Parameters of `quarantine.release`. */
interface ReleaseParams {
  /** Content or prompt part, as listed. */
  readonly call: string;
}

/**
 * Returns the methods by which operators list what is quarantined, and release it. A release
 * reaches all other instances as an answer does.
 */
export function createQuarantineMethods(
  { clock, logger, quarantine }: QuarantineMethodsParts,
): RpcMethods {
  return {
    "quarantine.list": () => quarantine.listQuarantined(clock.nowMs()),
    "quarantine.release": ({ call }: ReleaseParams) => {
      const wasSuspect = quarantine.release(
        toCallFingerprint(String(call)),
        clock.nowMs(),
      );
      logger.info("call released by an operator", {
        content: String(call),
        wasSuspect,
      });
      return { released: wasSuspect };
    },
  };
}
