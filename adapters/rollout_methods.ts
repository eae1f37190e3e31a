import type { RpcMethods } from "./json_rpc_server.ts";

/**
 * Returns the method by which operators list the rollouts of an instance.
 *
 * @param list Returns the rollouts by service; empty where they are off.
 */
export function createRolloutMethods(
  list: () => readonly unknown[],
): RpcMethods {
  return { "rollouts.list": list };
}
