import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { JSONRPCErrorCode } from "json-rpc-2.0";
import { createRecordingLogger } from "../tests/recording_logger.ts";
import { createRpcResponder } from "./json_rpc_server.ts";

function createResponder() {
  const { lines, logger } = createRecordingLogger();
  const respond = createRpcResponder({
    double: ({ value }) => 2 * value,
  }, logger);
  const call = async (text: string) => JSON.parse(await respond(text));
  return { call, lines };
}

const formatCall = (params?: unknown) =>
  JSON.stringify({ jsonrpc: "2.0", id: 1, method: "double", params });

describe("createRpcResponder()", () => {
  it("answers a call with the method's result", async () => {
    const { call } = createResponder();
    assert.equal((await call(formatCall({ value: 2 }))).result, 4);
  });

  describe("when a batch has elements that are no objects", () => {
    for (const text of ["[null]", "[null,1]", "[1]", '["a"]', "[[]]"]) {
      it(`answers ${text} with an error instead of rejecting`, async () => {
        const { call } = createResponder();
        const answer = await call(text);
        const { error } = Array.isArray(answer) ? answer[0] : answer;
        assert.equal(error.code, JSONRPCErrorCode.InvalidRequest);
      });
    }
  });

  describe("when a method throws", () => {
    it("answers with an error and logs it", async () => {
      const { call, lines } = createResponder();
      assert.ok((await call(formatCall())).error);
      assert.match(lines.join(), /JSON-RPC method failed/);
    });
  });
});
