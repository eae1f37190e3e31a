import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { ok } from "neverthrow";
import {
  createCaller,
  joinStream,
  waitUntil,
} from "../bin/check_deployment.ts";
import { OperatorClient } from "../bin/operator_client.ts";
import {
  type RunningDeployment,
  startDeployment,
} from "../bin/start_deployment.ts";
import { RESULT_CODES } from "../results/mod.ts";
import { createAnswer } from "../standin/mod.ts";

const EXAMPLE = fileURLToPath(
  new URL("../../examples/torra-nordeste", import.meta.url),
);
/** Submissions of the resources, 5 s apart: the store's circuit closes within that time. */
const MAX_APPLY_ATTEMPTS = 5;
const call = createCaller("app-token-example-0001");

function createQuestion(content: string, tokens = 10) {
  return {
    model: "barista-8b",
    stream: true,
    max_tokens: tokens,
    messages: [{ role: "user", content }],
  };
}

describe("a deployment of three regions with three daemons each", () => {
  let deployment: RunningDeployment;
  const readUrl = (index: number) =>
    deployment.daemons[index]!.record.callerUrl;

  before(async () => {
    deployment = await startDeployment(EXAMPLE);
    const operator = new OperatorClient({
      servers: [readUrl(0)],
      token: "operator-token-example",
    });
    const applied = await applyOnce(operator, deployment);
    assert.ok(applied.isOk(), JSON.stringify(applied));
    const startFailure = await waitUntil(() =>
      deployment.daemons.every(({ gateway }) =>
        gateway.configuration.sequence === 1 &&
        gateway.membership.liveIds.length === 3
      )
    );
    assert.equal(startFailure, undefined);
  });

  after(() => deployment.stop());

  it("answers a streamed request completely in every region", async () => {
    for (const index of [0, 3, 6]) {
      const question = createQuestion(`from ${index}`);
      const answer = await call(
        readUrl(index),
        "POST",
        "/v1/chat/completions",
        question,
      );
      assert.equal(answer.status, 200);
      assert.equal(joinStream(answer.text), createAnswer(question));
    }
  });

  describe("when an engine crashes in the middle of a stream", () => {
    it("resumes at another engine, and the caller gets the whole answer once", async () => {
      const { region } = deployment.daemons[0]!.record;
      const engines = [...deployment.standins.engines]
        .filter(([name]) => name.startsWith(region)).map(([, engine]) =>
          engine
        );
      engines[0]!.faults.breaksLeft = 1;
      engines.forEach(({ faults }) => {
        faults.breakAfterTokens = 4;
        faults.refuseResume = true;
      });
      const questions = Array.from(
        { length: 12 },
        (_, index) => createQuestion(`dies ${index}`),
      );
      const answers = await Promise.all(
        questions.map((question) =>
          call(readUrl(0), "POST", "/v1/chat/completions", question)
        ),
      );
      assert.deepEqual(
        answers.map(({ text }) => joinStream(text)),
        questions.map((question) => createAnswer(question)),
      );
      assert.equal(engines[0]!.faults.breaksLeft, 0, "no stream was broken");
      engines.forEach(({ faults }) => (faults.refuseResume = false));
    });

    it("ends the stream with a result code when no engine can resume", async () => {
      const engines = [...deployment.standins.engines.values()];
      engines.forEach(({ faults }) => {
        faults.breakAfterTokens = 3;
        faults.breaksLeft = 100;
        faults.refuseResume = true;
      });
      const answer = await call(
        readUrl(0),
        "POST",
        "/v1/chat/completions",
        createQuestion("all die"),
      );
      const last = answer.text.trim().split("\n").at(-1)!;
      const { error } = JSON.parse(last.slice("data: ".length)) as {
        readonly error: { readonly code: number; readonly ran: string };
      };
      assert.equal(error.code, 1402);
      assert.equal(error.ran, "unknown");
      engines.forEach(({ faults }) => {
        faults.breaksLeft = 0;
        faults.refuseResume = false;
      });
    });
  });

  describe("when the store is down", () => {
    it("goes on serving idempotent calls, and refuses others as not run", async () => {
      deployment.standins.platform.store.setDown(true);
      const question = createQuestion("store down");
      const answer = await call(
        readUrl(3),
        "POST",
        "/v1/chat/completions",
        question,
      );
      assert.equal(joinStream(answer.text), createAnswer(question));
      const before = countPlainRuns(deployment);
      const path = "/services/assinatura-app/plan-changes";
      const refused = await call(readUrl(3), "POST", path, {}, {
        "idempotency-key": "down-1",
      });
      assert.equal(refused.status, 503);
      assert.equal(refused.headers["x-result-code"], "1301");
      assert.equal(refused.headers["x-ran"], "not-run");
      assert.equal(countPlainRuns(deployment), before);
      deployment.standins.platform.store.setDown(false);
      let status = 0;
      for (let attempt = 0; attempt < 60 && status !== 200; attempt++) {
        await new Promise((resolve) => setTimeout(resolve, 100));
        const again = await call(readUrl(3), "POST", path, {}, {
          "idempotency-key": "down-1",
        });
        status = again.status;
      }
      assert.equal(status, 200);
      assert.equal(countPlainRuns(deployment), before + 1);
    });
  });

  describe("when a daemon shuts down", () => {
    it("completes calls in flight, and directs new callers to other daemons", async () => {
      const leaving = deployment.daemons[8]!;
      const question = createQuestion("leaving", 60);
      const inFlight = call(
        readUrl(8),
        "POST",
        "/v1/chat/completions",
        question,
      );
      assert.equal(
        await waitUntil(() => leaving.gateway.inFlight > 0),
        undefined,
      );
      const left = leaving.gateway.leave(new AbortController().signal);
      const refused = await call(
        readUrl(8),
        "POST",
        "/v1/chat/completions",
        question,
      );
      assert.equal(refused.headers["x-result-code"], "1205");
      assert.equal(refused.headers["x-ran"], "not-run");
      assert.match(refused.text, /"entries":\[\{"url"/);
      assert.equal(joinStream((await inFlight).text), createAnswer(question));
      await left;
      const { callerUrl } = leaving.record;
      const removalFailure = await waitUntil(() =>
        deployment.daemons.slice(6, 8).every(({ gateway }) =>
          !gateway.membership.liveIds.includes(leaving.record.id)
        )
      );
      assert.equal(removalFailure, undefined);
      const entries = await call(readUrl(7), "GET", "/v1/entries");
      assert.ok(!entries.text.includes(callerUrl));
    });
  });
});

/**
 * Applies the resources once. While nine daemons start in one process on a busy machine, the
 * store misses deadlines, and its circuit opens. A change is then refused with an unknown
 * outcome: it is submitted again if it does not come into force. That it was applied once is
 * asserted by the sequence number. Any other failure is returned.
 */
async function applyOnce(
  operator: OperatorClient,
  { daemons, resources }: RunningDeployment,
) {
  for (let attempt = 1;; attempt++) {
    const applied = await operator.call("POST", "/api/v1/changes", {
      changes: resources,
    });
    const isUnknown = applied.isErr() &&
      applied.error.message.startsWith(`${RESULT_CODES.WRITE_UNKNOWN.code} `);
    if (!isUnknown || attempt === MAX_APPLY_ATTEMPTS) return applied;
    const missing = await waitUntil(() =>
      daemons[0]!.gateway.configuration.sequence > 0
    );
    if (missing === undefined) return ok(undefined);
  }
}

function countPlainRuns(deployment: RunningDeployment): number {
  return [...deployment.standins.plainServers.values()]
    .reduce((sum, { runs }) => sum + runs.length, 0);
}
