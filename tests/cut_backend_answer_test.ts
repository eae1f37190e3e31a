// Guards against an answer that its server cut, and that is taken for a whole one.
import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { HttpBackendClient } from "../adapters/http_backend_client.ts";
import {
  toAttemptId,
  toBackendId,
  toFailureDomainId,
  toRegionId,
} from "../ids/mod.ts";
import { CLEAN_UPS } from "./clean_ups.ts";
import { startRawServer } from "./raw_http.ts";

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

const JSON_BODY = '{"choices":[{"text":"whole"}]}';

/** Returns the head of an answer with neither a length nor chunks. */
function createHead(contentType: string): string {
  return [
    "HTTP/1.1 200 OK",
    `Content-Type: ${contentType}`,
    "Connection: close",
    "",
    "",
  ].join("\r\n");
}

/** Calls a server once and returns the result. */
async function dispatch(answer: Parameters<typeof startRawServer>[0]) {
  const server = await startRawServer(answer);
  const client = new HttpBackendClient();
  CLEAN_UPS.push(() => server.close(), () => void client.close());
  return await client.dispatch({
    server: {
      id: toBackendId("s1"),
      service: "app",
      region: toRegionId("north"),
      failureDomain: toFailureDomainId("north-a"),
      url: `http://${server.address}`,
      isLeaving: false,
      slots: 1,
      pricePerSecond: 0,
      checksFencing: false,
    },
    attempt: toAttemptId("a1"),
    method: "POST",
    path: "/x",
    headers: {},
    body: "{}",
    isStream: false,
  }, new AbortController().signal);
}

describe("HttpBackendClient.dispatch()", () => {
  describe("when an answer has neither a length nor chunks", () => {
    [0, 20].forEach((pauseMs) => {
      ["text/plain", "application/json"].forEach((type) => {
        it(`fails if the connection is reset after ${pauseMs} ms, with ${type}`, async () => {
          const result = await dispatch((_, socket) => {
            const reset = () => socket.resetAndDestroy();
            socket.write(createHead(type) + JSON_BODY, () => {
              if (pauseMs === 0) reset();
              else setTimeout(reset, pauseMs);
            });
          });
          assert.equal(result.isErr() && result.error.kind, "broken");
          assert.equal(
            result.isErr() && result.error.kind === "broken" &&
              result.error.isClosed,
            true,
          );
        });
      });
    });

    it("fails if the connection ends within JSON", async () => {
      const result = await dispatch((_, socket) =>
        socket.end(createHead("application/json") + JSON_BODY.slice(0, -1))
      );
      assert.equal(result.isErr() && result.error.kind, "broken");
    });

    it("returns whole JSON", async () => {
      const result = await dispatch((_, socket) =>
        socket.end(createHead("application/json") + JSON_BODY)
      );
      const answer = result._unsafeUnwrap();
      assert.ok(answer.kind === "whole");
      assert.equal(Buffer.from(answer.body).toString(), JSON_BODY);
      assert.equal(answer.mayBeCut, false);
    });

    [["text/plain", "whole"], ["application/jsonl", "{}\n{}\n"]].forEach(
      ([type, body]) => {
        it(`says that an answer with ${type} may have been cut`, async () => {
          const result = await dispatch((_, socket) =>
            socket.end(createHead(type!) + body)
          );
          const answer = result._unsafeUnwrap();
          assert.ok(answer.kind === "whole");
          assert.equal(Buffer.from(answer.body).toString(), body);
          assert.equal(answer.mayBeCut, true);
        });
      },
    );
  });
});
