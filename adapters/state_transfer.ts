import { JSONRPCClient } from "json-rpc-2.0";
import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import type { StateCopy } from "../state/mod.ts";
import type { StorePosition } from "../store/mod.ts";
import { RPC_PATH } from "./control_route.ts";
import type { RpcMethods } from "./json_rpc_server.ts";
import { callWithTimeout } from "./call_with_timeout.ts";
import { readAnswerText } from "./read_answer.ts";

/** Method that returns a copy of the known state. */
const READ_STATE_METHOD = "state.read";
/** Parameters of `state.read`: the position up to which the caller has the whole state. */
interface ReadStateParams {
  readonly afterRevision: number;
  /** Absent in calls from instances of earlier versions. */
  readonly era?: number;
}

/** Copy as received; instances of earlier versions send no version and no era. */
type ReceivedCopy =
  & Omit<StateCopy, "configurationVersion" | "era">
  & Partial<StateCopy>;

/**
 * Timeout of a read, in milliseconds. It allows for a copy of several hundred routes
 * between regions.
 */
const READ_TIMEOUT_MS = 2_000;

/**
 * Returns the method by which peers read the state that this instance has.
 *
 * @param createCopy Returns a copy of the state after a position.
 */
export function createStateMethods(
  createCopy: (after: StorePosition) => StateCopy,
): RpcMethods {
  return {
    [READ_STATE_METHOD]: ({ afterRevision, era = 0 }: ReadStateParams) =>
      createCopy({ era, revision: afterRevision }),
  };
}

/**
 * Reads the state that a peer has.
 *
 * @param address Control address of the peer: IP address and port.
 * @param position Position up to which this instance has the whole state.
 */
export async function readPeerState(
  address: string,
  { era, revision }: StorePosition,
): Promise<Result<StateCopy, string>> {
  let callId = 0;
  const client: JSONRPCClient = new JSONRPCClient(async (payload) => {
    const bounds = { timeoutMs: READ_TIMEOUT_MS };
    const text = await callWithTimeout(bounds, async (signal) => {
      const response = await request(`http://${address}${RPC_PATH}`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(payload),
        signal,
      });
      return await readAnswerText(response.body);
    });
    client.receive(JSON.parse(text));
  }, () => ++callId);
  try {
    const params: ReadStateParams = { afterRevision: revision, era };
    const copy = await client.request(
      READ_STATE_METHOD,
      params,
    ) as ReceivedCopy;
    return ok({ era: 0, configurationVersion: 0, ...copy });
  } catch (error) {
    return err((error as Error).message);
  }
}
