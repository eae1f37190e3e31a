import fc from "fast-check";
import OpenAI from "openai";
import assert from "node:assert/strict";
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { createCaller, waitUntil } from "../bin/check_deployment.ts";
import { OperatorClient } from "../bin/operator_client.ts";
import {
  type RunningDeployment,
  startDeployment,
} from "../bin/start_deployment.ts";
import { Caller } from "../client/mod.ts";
import { createAnswer } from "../standin/mod.ts";

const EXAMPLE = fileURLToPath(
  new URL("../../examples/atlas-folia", import.meta.url),
);
const TOKEN = "botanist-token-example-0001";
const call = createCaller(TOKEN);
const CHAT = "/v1/chat/completions";
const QUESTION = {
  model: "folia-7b",
  max_tokens: 6,
  messages: [{ role: "user" as const, content: "Which genus?" }],
};

describe("the HTTP interface of a daemon", () => {
  let deployment: RunningDeployment;
  let url = "";
  let operator: OperatorClient;

  before(async () => {
    deployment = await startDeployment(EXAMPLE);
    url = deployment.daemons[0]!.record.callerUrl;
    operator = new OperatorClient({
      servers: [url],
      token: "operator-token-example",
    });
    const team = {
      kind: "team",
      name: "busy",
      spec: { tokenHashes: [], requestsPerSecond: 5 },
    };
    const applied = await operator.call("POST", "/api/v1/changes", {
      changes: [
        ...deployment.resources.map((resource) =>
          resource.kind === "team"
            ? {
              ...resource,
              spec: { ...resource.spec, requestsPerSecond: 100_000 },
            }
            : resource
        ),
        team,
      ],
    });
    assert.ok(applied.isOk());
    assert.equal(
      await waitUntil(() =>
        deployment.daemons.every(({ gateway }) =>
          gateway.configuration.sequence === 1
        )
      ),
      undefined,
    );
  });

  after(() => deployment.stop());

  /** Sends bytes and returns all that is received until the connection closes or is idle for 1 s. */
  function sendRaw(bytes: string | Uint8Array): Promise<string> {
    return new Promise((resolve) => {
      const { hostname, port } = new URL(url);
      const socket = connect(Number(port), hostname);
      let text = "";
      socket.on("data", (chunk) => (text += chunk.toString("latin1")));
      socket.on("close", () => resolve(text));
      socket.on("error", () => resolve(text));
      socket.setTimeout(1_000, () => socket.destroy());
      socket.write(bytes);
    });
  }

  describe("with the OpenAI client library", () => {
    it("serves whole and streamed answers, and lists models", async () => {
      const client = new OpenAI({
        apiKey: TOKEN,
        baseURL: `${url}/v1`,
        maxRetries: 0,
      });
      const whole = await client.chat.completions.create(QUESTION);
      assert.equal(whole.choices[0]!.message.content, createAnswer(QUESTION));
      const stream = await client.chat.completions.create({
        ...QUESTION,
        stream: true,
      });
      let text = "";
      for await (const chunk of stream) {
        text += chunk.choices[0]?.delta.content ?? "";
      }
      assert.equal(text, createAnswer(QUESTION));
      const models = await client.models.list();
      assert.ok(models.data.some(({ id }) => id === "folia-7b"));
    });
  });

  describe("with the caller library", () => {
    it("skips a dead entry, and repeats the answer for an idempotency key used before", async () => {
      const caller = new Caller({
        entries: ["http://127.0.0.1:1", url],
        token: TOKEN,
      });
      const options = {
        body: { sheet: 1 },
        isNonIdempotent: true,
        idempotencyKey: "sheet-1",
      };
      const first = await caller.call("/services/folia-app/records", options);
      assert.equal(first.code, 0);
      const second = await caller.call("/services/folia-app/records", options);
      assert.equal(second.text, first.text);
      const events: string[] = [];
      for await (const data of caller.stream(CHAT, { body: QUESTION })) {
        events.push(data);
      }
      assert.equal(events.length, QUESTION.max_tokens + 1);
      await caller.close();
    });
  });

  describe("with invalid tokens", () => {
    it("answers 401 to an unknown token or a caller at /peer, and 403 to a caller at /api/v1", async () => {
      const wrong = await createCaller("no-such-token")(
        url,
        "POST",
        CHAT,
        QUESTION,
      );
      assert.equal(wrong.status, 401);
      const caller = await call(url, "GET", "/api/v1/status");
      assert.equal(caller.status, 403);
      const peer = await call(url, "POST", "/peer", {
        jsonrpc: "2.0",
        id: 1,
        method: "x",
      });
      assert.equal(peer.status, 401);
    });
  });

  describe("with invalid bodies", () => {
    const cases: readonly (readonly [string, unknown, number])[] = [
      ["an unknown model", { ...QUESTION, model: "none" }, 1005],
      ["a model of the wrong type", { ...QUESTION, model: 5 }, 1001],
      ["no messages", { model: "folia-7b" }, 1001],
      ["a negative limit", { ...QUESTION, max_tokens: -1 }, 1001],
      ["a stream flag of the wrong type", { ...QUESTION, stream: "yes" }, 1001],
      ["a list as body", [], 1001],
    ];
    cases.forEach(([name, body, code]) =>
      it(`answers ${name} with code ${code}`, async () => {
        const answer = await call(url, "POST", CHAT, body);
        assert.equal(answer.headers["x-result-code"], String(code));
        assert.equal(answer.headers["x-ran"], "not-run");
      })
    );

    it("answers invalid UTF-8 and truncated JSON with code 1001", async () => {
      const head =
        `POST ${CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${TOKEN}\r\n` +
        "connection: close\r\n";
      const bytes = Buffer.concat([
        Buffer.from(`${head}content-length: 4\r\n\r\n`),
        Buffer.from([0x22, 0xff, 0xfe, 0x22]),
      ]);
      assert.match(await sendRaw(bytes), /x-result-code: 1001/);
      assert.match(
        await sendRaw(`${head}content-length: 5\r\n\r\n{"a":`),
        /x-result-code: 1001/,
      );
    });

    it("refuses a body that exceeds the size limit", async () => {
      const body = {
        ...QUESTION,
        messages: [{ role: "user", content: "x".repeat(1_048_577) }],
      };
      const answer = await call(url, "POST", CHAT, body);
      assert.equal(answer.status, 413);
      assert.equal(answer.headers["x-result-code"], "1002");
    });

    it("refuses excessive headers and framing that allows request smuggling", async () => {
      const flood = Array.from(
        { length: 500 },
        (_, index) => `x-${index}: ${"y".repeat(60)}`,
      );
      const tooLong = await sendRaw(
        `GET /healthz HTTP/1.1\r\n${flood.join("\r\n")}\r\n\r\n`,
      );
      assert.match(tooLong, /^HTTP\/1\.1 431/);
      const both = await sendRaw(
        `POST ${CHAT} HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n` +
          "transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /healthz HTTP/1.1\r\n\r\n",
      );
      assert.match(both, /^HTTP\/1\.1 400/);
      assert.doesNotMatch(both, /"status":"ok"/);
      const twice = await sendRaw(
        `POST ${CHAT} HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcd`,
      );
      assert.match(twice, /^HTTP\/1\.1 400/);
    });

    it("answers any JSON at any path without an internal error, and stays up", async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.constantFrom(
            CHAT,
            "/v1/completions",
            "/v1/batches",
            "/services/folia-app/x",
            "/%ff",
          ),
          fc.jsonValue({ maxDepth: 3 }),
          async (path, body) => {
            const answer = await call(url, "POST", path, body as object);
            const code = Number(answer.headers["x-result-code"] ?? "0");
            assert.ok(
              answer.status < 500 || code !== 1901,
              `${path}: ${answer.text}`,
            );
          },
        ),
        { numRuns: 150 },
      );
      assert.equal((await call(url, "GET", "/healthz")).status, 200);
    });
  });

  describe("when a caller disconnects in the middle of a stream", () => {
    it("cancels the stream at the engine", async () => {
      const engines = [...deployment.standins.engines.values()];
      const countCancelled = () =>
        engines.reduce((sum, engine) => sum + engine.cancelled.length, 0);
      const before = countCancelled();
      const disconnect = new AbortController();
      const caller = new Caller({ entries: [url], token: TOKEN });
      const body = { ...QUESTION, max_tokens: 400 };
      await assert.rejects(async () => {
        for await (
          const _ of caller.stream(CHAT, { body, signal: disconnect.signal })
        ) disconnect.abort();
      });
      assert.equal(await waitUntil(() => countCancelled() > before), undefined);
      await caller.close();
    });
  });

  describe("when events arrive late, twice, out of order and mixed with those of another stream", () => {
    it("gives the caller the whole answer once", async () => {
      const engines = [...deployment.standins.engines.values()];
      engines.forEach(({ faults }) => (faults.scramble = true));
      const caller = new Caller({ entries: [url], token: TOKEN });
      let text = "";
      for await (
        const data of caller.stream(CHAT, {
          body: { ...QUESTION, max_tokens: 30 },
        })
      ) {
        const chunk = JSON.parse(data) as {
          readonly choices: readonly {
            readonly delta: { readonly content?: string };
          }[];
        };
        text += chunk.choices[0]?.delta.content ?? "";
      }
      assert.equal(text, createAnswer({ ...QUESTION, max_tokens: 30 }));
      engines.forEach(({ faults }) => (faults.scramble = false));
      await caller.close();
    });
  });

  describe("for operators", () => {
    it("applies one of two concurrent changes, and names its author to the other", async () => {
      const path = "/api/v1/resources/team/busy";
      const change = (rate: number) =>
        operator.call<{ readonly sequence: number }>("PUT", path, {
          spec: { tokenHashes: [], requestsPerSecond: rate },
          version: 1,
        });
      const results = await Promise.all([change(6), change(7)]);
      const lost = results.filter((result) => result.isErr());
      assert.equal(lost.length, 1);
      assert.match(
        lost[0]!._unsafeUnwrapErr().message,
        /1501 conflict.*set by operator/,
      );
    });

    it("applies no change of a set when one refers to a missing resource", async () => {
      const before = deployment.daemons[0]!.gateway.configuration.sequence;
      const applied = await operator.call("POST", "/api/v1/changes", {
        changes: [
          { kind: "model", name: "fine", spec: {} },
          { kind: "service", name: "wrong", spec: { model: "missing" } },
        ],
      });
      assert.match(
        applied._unsafeUnwrapErr().message,
        /model "missing", which does not exist/,
      );
      assert.equal(
        deployment.daemons[0]!.gateway.configuration.sequence,
        before,
      );
    });

    it("loads the placed models, with a fencing token on each order", async () => {
      const engines = [...deployment.standins.engines.values()];
      const waitFailure = await waitUntil(() =>
        engines.every(({ state }) => state.version === "folia-7b-v1")
      );
      assert.equal(waitFailure, undefined);
      assert.ok(
        engines.every(({ orders }) =>
          orders.every(({ fencingToken }) => fencingToken > 0)
        ),
      );
    });

    it("changes the log level at run time", async () => {
      const changed = await operator.call("PUT", "/api/v1/log-level", {
        level: "debug",
      });
      assert.ok(changed.isOk());
      assert.equal(deployment.daemons[0]!.gateway.parts.logger.level, "debug");
    });
  });
});
