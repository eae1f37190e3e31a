// Guards against sends after the first one that no line of the log names.
import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { CLEAN_UPS } from "./clean_ups.ts";
import {
  createAnswer,
  createRefusal,
  postCall,
  startGateway,
} from "./http_gateway_fixture.ts";
import { findHeader, startRawServer } from "./raw_http.ts";
import { createRecordingLogger } from "./recording_logger.ts";

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

/** Sends a call to a server that answers it so first, and well later; returns what the log says of sends. */
async function logSends(status: string) {
  const { lines, logger } = createRecordingLogger();
  let isFirst = true;
  const server = await startRawServer((request, socket) => {
    const id = findHeader(request, "x-havenspur-attempt-id")!;
    const refusal = createRefusal(status, id, ["Connection: close"]);
    socket.write(isFirst ? refusal : createAnswer(id, "done"));
    isFirst = false;
  });
  const { address } = server;
  const gateway = await startGateway({
    routes: [{ prefix: "/a/", kind: "unsafe", maxAttempts: 2 }],
    servers: { s1: address, s2: address },
    logger,
  });
  CLEAN_UPS.push(() => gateway.close(), () => server.close());
  await postCall(gateway.port);
  const repeats = lines.map((line) => JSON.parse(line))
    .filter(({ message }) => message === "sent again");
  return { address, repeats };
}

describe("the log line of a call that is sent again", () => {
  const causes = {
    misdirected: "421 Misdirected",
    rejected: "503 Full",
  };
  Object.entries(causes).forEach(([because, status]) => {
    it(`says that it is ${because}, where it went, and that it was answered`, async () => {
      const { address, repeats } = await logSends(status);
      assert.equal(repeats.length, 1);
      const [line] = repeats;
      assert.deepEqual(
        {
          call: line.call,
          send: line.send,
          because: line.because,
          address: line.address,
          end: line.end,
          status: line.status,
        },
        {
          call: "c1",
          send: 2,
          because,
          address,
          end: "answered",
          status: 200,
        },
      );
      assert.match(line.at, /^s[12]/);
    });
  });
});
