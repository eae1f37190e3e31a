import { JSONRPCClient, JSONRPCServer } from "json-rpc-2.0";
import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import type { StateCopy } from "../state/mod.ts";
import type { StorePosition } from "../store/mod.ts";
import type { PlainRoute } from "./plain_server.ts";

/** Path of JSON-RPC between instances, on the control address. */
const RPC_PATH = "/rpc";
/** Method that returns a copy of the known state. */
const READ_METHOD = "state.read";
/** What `state.read` is called with: up to where the caller knows all. */
interface ReadParams {
  readonly afterRevision: number;
  /** Instances of earlier versions do not say it. */
  readonly era?: number;
}

/** A copy as read: instances of earlier versions know of no eras. */
type ReadCopy =
  & Omit<StateCopy, "configurationVersion" | "era">
  & Partial<StateCopy>;

/** Time for a copy of several hundred routes between regions, in milliseconds. */
const READ_TIMEOUT_MS = 2_000;

/**
 * Returns the route by which peers read the state that this instance knows.
 *
 * @param createCopy Makes the copy of what comes after a position.
 */
export function createStateRoute(
  createCopy: (after: StorePosition) => StateCopy,
): PlainRoute {
  const server = new JSONRPCServer();
  server.addMethod(
    READ_METHOD,
    ({ afterRevision, era = 0 }: ReadParams) =>
      createCopy({ era, revision: afterRevision }),
  );
  return {
    method: "POST",
    path: RPC_PATH,
    handle: async ({ body }) => {
      const answer = await server.receiveJSON(body);
      return {
        status: 200,
        contentType: "application/json",
        body: JSON.stringify(answer),
      };
    },
  };
}

/**
 * Reads the state that a peer knows.
 *
 * @param address IP address and port of its control address.
 * @param after Up to where all is known here.
 */
export async function readPeerState(
  address: string,
  { era, revision }: StorePosition,
): Promise<Result<StateCopy, string>> {
  let callId = 0;
  const client: JSONRPCClient = new JSONRPCClient(async (payload) => {
    const response = await request(`http://${address}${RPC_PATH}`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(payload),
      signal: AbortSignal.timeout(READ_TIMEOUT_MS),
    });
    client.receive(JSON.parse(await response.body.text()));
  }, () => ++callId);
  try {
    const params: ReadParams = { afterRevision: revision, era };
    const copy = await client.request(READ_METHOD, params) as ReadCopy;
    return ok({ era: 0, configurationVersion: 0, ...copy });
  } catch (error) {
    return err((error as Error).message);
  }
}
