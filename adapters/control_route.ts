import type { Logger } from "../logs/mod.ts";
import type { EndpointRoute } from "./endpoint_server.ts";
import { createRpcResponder, type RpcMethods } from "./json_rpc_server.ts";

/** Path of JSON-RPC calls of instances and operators, on the control address. */
export const RPC_PATH = "/rpc";

/**
 * Returns the route over which instances and operators call methods.
 *
 * @param methods Methods that are served.
 * @param logger Receives the errors of calls.
 */
export function createControlRoute(
  methods: RpcMethods,
  logger: Logger,
): EndpointRoute {
  const respond = createRpcResponder(methods, logger);
  return {
    method: "POST",
    path: RPC_PATH,
    handle: async ({ body }) => ({
      status: 200,
      contentType: "application/json",
      body: await respond(body),
    }),
  };
}
