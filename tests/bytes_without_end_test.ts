// Guards against a server whose bytes never end, and that keeps a call waiting or its connection open for as long as it sends.
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { HttpBackendClient } from "../adapters/http_backend_client.ts";
import { createBackendCall } from "./backend_server_fixture.ts";
import { CLEAN_UPS } from "./clean_ups.ts";
import {
  awaitClosed,
  type EndlessBytes,
  isInTime,
  sendForEver,
} from "./endless_server_fixture.ts";
import {
  createAnswer,
  createRequest,
  startGateway,
} from "./http_gateway_fixture.ts";
import { openRawCaller, startRawServer } from "./raw_http.ts";
import { awaitAnswer, listEventIds } from "./received_answer.ts";
import {
  createEvent,
  openStream,
  type RequestHandler,
  startStreamingGateway,
  STREAM_END,
  STREAM_HEAD,
  toChunk,
} from "./stream_fixture.ts";

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

/** Time that a call, and then the end of the connection of its server, may take, in milliseconds. */
const MAX_WAIT_MS = 2_000;
/** Timeout of a call that must not be used up, in milliseconds. */
const CALL_TIMEOUT_MS = 10_000;
/** Maximum number of bytes that a server gets rid of, those in the system's buffers included. */
const MAX_SENT_BYTES = 16_777_216;
/** An answer without end, and what its caller gets. */
interface EndlessAnswer extends EndlessBytes {
  /** Method of the call. Default: `GET`. */
  readonly method?: string;
  /** Whether the answer is broken off that the caller has begun to get. Default: no. */
  readonly isBrokenOff?: boolean;
  /** Status of a call that may run once; `undefined` if the answer is passed on. Default: 502. */
  readonly onceStatus?: string | undefined;
}

function toHead(status: string, ...headers: readonly string[]): string {
  return createAnswer("c1", "", headers).replace("200 OK", status)
    .replace(/Content-Length: \d+/, "Content-Length: 1000000000000");
}
const CHUNKED_HEAD = toHead("200 OK")
  .replace(/Content-Length: \d+/, "Transfer-Encoding: chunked");
const REJECTION = "X-Havenspur-Not-Executed: 1";
const LINE = "x".repeat(1_000);

const ANSWERS: Readonly<Record<string, EndlessAnswer>> = {
  "a status line": { beginning: "HTTP/1.1 200 O", repeated: "K" },
  "a header line": { beginning: "HTTP/1.1 200 OK\r\nX: ", repeated: "x" },
  "spaces in a header": { beginning: "HTTP/1.1 200 OK\r\nX:", repeated: " " },
  "header lines": { beginning: "HTTP/1.1 200 OK\r\n", repeated: "X: y\r\n" },
  "blank lines before a head": { beginning: "", repeated: "\r\n" },
  "interim answers": {
    beginning: "",
    repeated: "HTTP/1.1 102 Processing\r\n\r\n",
  },
  "the body of a rejection": {
    beginning: toHead("503 Full", REJECTION),
    repeated: LINE,
    onceStatus: "503",
  },
  "the body of a rejection, slowly": {
    beginning: toHead("429 Full", REJECTION),
    repeated: "x",
    isSlow: true,
    onceStatus: "503",
  },
  "the body of a misdirected call, slowly": {
    beginning: toHead("421 Misdirected"),
    repeated: "x",
    isSlow: true,
    onceStatus: "200",
  },
  "the chunk size of a rejection": {
    beginning: toHead("503 Full", REJECTION)
      .replace(/Content-Length: \d+/, "Transfer-Encoding: chunked"),
    repeated: "0",
    onceStatus: "503",
  },
  "the body of a 503 without a rejection": {
    beginning: toHead("503 Full"),
    repeated: LINE,
  },
  "the body of a held failure": {
    beginning: toHead("500 Failed"),
    repeated: LINE,
    onceStatus: undefined,
  },
  "the body of a held failure, slowly": {
    beginning: toHead("500 Failed"),
    repeated: "x",
    isSlow: true,
    onceStatus: undefined,
  },
  "the body of an unsigned answer": {
    beginning: toHead("200 OK").replace(/.*Signature.*\r\n/, ""),
    repeated: LINE,
  },
  "the body of another call's answer": {
    beginning: toHead("200 OK").replace("c1", "c2"),
    repeated: LINE,
  },
  "an encoded body": {
    beginning: toHead("200 OK", "Content-Encoding: gzip"),
    repeated: LINE,
  },
  "a chunk size": {
    beginning: CHUNKED_HEAD + "1\r\nx\r\n",
    repeated: "0",
    isBrokenOff: true,
  },
  "a chunk extension": {
    beginning: CHUNKED_HEAD + "1\r\nx\r\n1;",
    repeated: "x",
    isBrokenOff: true,
  },
  "a trailer": {
    beginning: CHUNKED_HEAD + "1\r\nx\r\n0\r\nX: ",
    repeated: "x",
    isBrokenOff: true,
  },
  "trailers": {
    beginning: CHUNKED_HEAD + "1\r\nx\r\n0\r\n",
    repeated: "X: y\r\n",
    isBrokenOff: true,
  },
};

const WHOLE = createAnswer("c1", "whole");
const EMPTY = createAnswer("c1", "")
  .replace("200 OK", "204 Empty").replace(/Content-Length: .*\r\n/, "");

/** Answers that are complete, although their connection has more bytes. */
const FOLLOWED_ANSWERS: Readonly<Record<string, EndlessAnswer>> = {
  "other bytes": { beginning: WHOLE, repeated: "x" },
  "other answers": { beginning: WHOLE, repeated: WHOLE },
  "blank lines": { beginning: WHOLE, repeated: "\r\n" },
  "the body of a 204": { beginning: EMPTY, repeated: "x" },
  "the body of a 304": {
    beginning: EMPTY.replace("204", "304"),
    repeated: "x",
  },
  "the body of an answer to HEAD": {
    beginning: toHead("200 OK"),
    repeated: "x",
    method: "HEAD",
  },
};

const PARTS_PER_CHUNK = 1_000;
/** Time for a stream that goes on elsewhere, in milliseconds: less than its route's timeout. */
const MAX_STREAM_MS = 4_000;
/** What is repeated without end after an event. */
const STREAM_PARTS: Readonly<Record<string, string>> = {
  "an event": "data: x",
  "a comment": ": x",
  "comments": ": x\n\n",
  "blank lines": "\n",
};

/** Has the first server of a call send an answer without end, and the next one a whole one. */
async function callEndlessServer(
  answer: EndlessAnswer,
  kind: "safe" | "unsafe",
) {
  let calls = 0;
  let endless: Socket | undefined;
  const servers = await Promise.all(
    [1, 2].map(() =>
      startRawServer((_, socket) => {
        if (calls++ > 0) {
          socket.write(createAnswer("c1", "whole"));
          return;
        }
        endless = socket;
        sendForEver(socket, answer);
      })
    ),
  );
  const gateway = await startGateway({
    routes: [{
      prefix: "/a/",
      kind,
      maxAttempts: kind === "safe" ? 2 : 1,
      timeoutMs: CALL_TIMEOUT_MS,
      targetMs: CALL_TIMEOUT_MS,
    }],
    servers: { s1: servers[0]!.address, s2: servers[1]!.address },
  });
  const caller = await openRawCaller(gateway.port);
  CLEAN_UPS.push(
    () => gateway.close(),
    () => caller.socket.destroy(),
    ...servers.map((server) => () => server.close()),
  );
  caller.socket.write(
    createRequest("/a/x", {
      method: answer.method ?? "GET",
      headers: ["Connection: close"],
    }),
  );
  const received = awaitAnswer(caller);
  assert.ok(
    await isInTime(received, MAX_WAIT_MS),
    `the call waits: "${caller.read()}"`,
  );
  const closed = awaitClosed(endless!);
  assert.ok(await isInTime(closed, MAX_WAIT_MS), "the connection is kept");
  const sentBytes = endless!.bytesWritten;
  assert.ok(sentBytes < MAX_SENT_BYTES, `the server sent ${sentBytes} bytes`);
  return await received;
}

describe("bytes without end of a server", () => {
  Object.entries(ANSWERS).forEach(([name, answer]) => {
    const { isBrokenOff = false } = answer;

    it(`end a call that may run again in time: ${name}`, async () => {
      const { body, looksComplete } = await callEndlessServer(answer, "safe");
      assert.equal(looksComplete, !isBrokenOff);
      assert.equal(body, isBrokenOff ? "x" : "whole");
    });

    const onceStatus = "onceStatus" in answer ? answer.onceStatus : "502";
    if (onceStatus === undefined) return;
    it(`end a call that may run once in time: ${name}`, async () => {
      const { looksComplete, status } = await callEndlessServer(
        answer,
        "unsafe",
      );
      assert.equal(looksComplete, !isBrokenOff);
      assert.equal(status, isBrokenOff ? "200" : onceStatus);
    });
  });

  Object.entries(FOLLOWED_ANSWERS).forEach(([name, answer]) => {
    it(`follow a whole answer and close its connection: ${name}`, async () => {
      const { status } = await callEndlessServer(answer, "safe");
      assert.equal(status, answer.beginning.slice(9, 12));
    });
  });

  Object.entries(ANSWERS).filter(([, { isSlow = false }]) => !isSlow).forEach(
    ([name, answer]) => {
      it(`end a call of the OpenAI listener in time: ${name}`, async () => {
        const server = await startRawServer((_, socket) =>
          sendForEver(socket, answer)
        );
        const client = new HttpBackendClient();
        CLEAN_UPS.push(() => server.close(), () => void client.close());
        const result = client.dispatch(
          createBackendCall(server.address),
          new AbortController().signal,
        );
        assert.ok(await isInTime(result, MAX_WAIT_MS), "the call waits");
        assert.ok((await result).isErr());
      });
    },
  );

  Object.entries(STREAM_PARTS).forEach(([name, repeated]) => {
    it(`have a stream go on elsewhere: ${name}`, async () => {
      let calls = 0;
      const endless = {
        beginning: STREAM_HEAD + toChunk(createEvent(1)),
        repeated: toChunk(repeated.repeat(PARTS_PER_CHUNK)),
      };
      const answer: RequestHandler = (_, socket) => {
        if (calls++ === 0) sendForEver(socket, endless);
        else socket.write(STREAM_HEAD + toChunk(createEvent(2)) + STREAM_END);
      };
      const { gateway, servers } = await startStreamingGateway(
        [answer, answer],
        { resumable: true, maxAttempts: 2 },
      );
      const received = awaitAnswer(await openStream(gateway.port));
      assert.ok(await isInTime(received, MAX_STREAM_MS), "the stream waits");
      const { body, looksComplete } = await received;
      assert.ok(looksComplete);
      assert.deepEqual(listEventIds(body), ["1", "2"]);
      const [socket] = servers.flatMap(({ sockets }) => sockets)
        .sort((one, other) => other.bytesWritten - one.bytesWritten);
      assert.ok(
        await isInTime(awaitClosed(socket!), MAX_WAIT_MS),
        "the connection is kept",
      );
    });
  });
});
