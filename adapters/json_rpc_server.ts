import {
  createJSONRPCErrorResponse,
  JSONRPCErrorCode,
  JSONRPCServer,
} from "json-rpc-2.0";
import type { Logger } from "../logs/mod.ts";

/** Methods by name. Each takes the parameters as received and returns the result. */
export type RpcMethods = Readonly<
  // deno-lint-ignore no-explicit-any
  Record<string, (params: any) => unknown>
>;

/** Answers the text of a JSON-RPC 2.0 request with the text of the answer; never rejects. */
export type RpcResponder = (text: string) => Promise<string>;

/**
 * Returns a function that answers JSON-RPC 2.0 requests, whatever their text is.
 *
 * @param methods Methods that are served.
 * @param logger Receives the errors of methods.
 */
export function createRpcResponder(
  methods: RpcMethods,
  logger: Logger,
): RpcResponder {
  const server = new JSONRPCServer({
    errorListener: (message, error) =>
      logger.warn("JSON-RPC method failed", {
        what: message,
        reason: String(error),
      }),
  });
  Object.entries(methods).forEach(([name, method]) =>
    server.addMethod(name, method)
  );
  return async (text) => {
    try {
      return JSON.stringify(await server.receiveJSON(text));
    } catch (error) {
      // The library rejects if an element of a batch is no object.
      logger.warn("JSON-RPC request is invalid", { reason: String(error) });
      return JSON.stringify(createJSONRPCErrorResponse(
        null,
        JSONRPCErrorCode.InvalidRequest,
        "Invalid Request",
      ));
    }
  };
}
