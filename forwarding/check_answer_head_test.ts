import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toSendId } from "../ids/mod.ts";
import { checkAnswerHead } from "./check_answer_head.ts";
import { GATEWAY_HEADER_CODEC } from "./gateway_header_codec.ts";

/** Returns the verdict on the answer of a server to the call `c1`. */
function check(status: number, headers: readonly string[], callId = "c1") {
  const facts = GATEWAY_HEADER_CODEC.readAnswer(status, headers);
  const verdict = checkAnswerHead({
    callId,
    status,
    facts,
    hop: undefined,
  });
  return verdict.kind === "mismatch" ? verdict.reason : verdict.kind;
}

/** Returns the verdict on a refusal that an instance made for a send, of the send `2`. */
function checkRefusal(sendId: string | undefined) {
  const verdict = checkAnswerHead({
    callId: "c1",
    status: 503,
    facts: GATEWAY_HEADER_CODEC.readAnswer(503, []),
    hop: {
      sendId: toSendId("2"),
      answer: {
        kind: "not-run",
        sendId: sendId === undefined ? undefined : toSendId(sendId),
        servedMs: 0,
        tried: [],
        endsWithConnection: false,
        reason: "no-room",
        version: undefined,
      },
    },
  });
  return verdict.kind === "mismatch" ? verdict.reason : verdict.kind;
}

const NOT_RUN = ["x-not-run", "1"];
const OWN_ID = ["x-call-id", "c1"];
const OTHER_ID = ["x-call-id", "c0"];

describe("checkAnswerHead()", () => {
  describe("when the server says that it did not run a call", () => {
    [400, 421, 429, 503].forEach((status) => {
      it(`believes it of the call that the answer names, status ${status}`, () => {
        assert.equal(check(status, [...NOT_RUN, ...OWN_ID]), "not-run");
      });

      it(`believes no answer that names another call or none, status ${status}`, () => {
        assert.equal(
          check(status, [...NOT_RUN, ...OTHER_ID]),
          "names-another-call",
        );
        assert.equal(check(status, NOT_RUN), "names-no-call");
        assert.equal(
          check(status, [...NOT_RUN, "x-call-id", ""]),
          "names-another-call",
        );
      });
    });

    it("believes it of a call that has no id", () => {
      assert.equal(check(400, NOT_RUN, ""), "not-run");
    });
  });

  describe("when another instance refuses a call", () => {
    it("believes it of the send that the refusal names", () => {
      assert.equal(checkRefusal("2"), "not-run");
    });

    it("believes no refusal of another send", () => {
      assert.equal(checkRefusal("1"), "names-another-send");
    });

    it("believes an instance with earlier software, which names no send", () => {
      assert.equal(checkRefusal(undefined), "not-run");
    });
  });

  it('takes no status that promises "not run" for that promise', () => {
    assert.equal(check(503, OWN_ID), "unmarked-refusal");
  });

  it("takes other answers without an id for those of the call", () => {
    assert.equal(check(200, []), "matches");
    assert.equal(check(500, []), "matches");
  });
});
