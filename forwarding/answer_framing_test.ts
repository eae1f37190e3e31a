import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { readAnswerFraming } from "./answer_framing.ts";

describe("readAnswerFraming()", () => {
  const cases:
    readonly (readonly [string, string, number, string[], string])[] = [
      ["a length", "GET", 200, ["Content-Length", "4"], "length"],
      ["chunks", "GET", 200, ["Transfer-Encoding", "Chunked"], "chunked"],
      [
        "chunks of another coding",
        "GET",
        200,
        ["transfer-encoding", "gzip, chunked"],
        "chunked",
      ],
      [
        "a coding that does not tell its end",
        "GET",
        200,
        ["Transfer-Encoding", "gzip"],
        "connection",
      ],
      ["neither", "POST", 200, ["Content-Type", "text/plain"], "connection"],
      ["a status without a body", "POST", 204, [], "empty"],
      ["no body, as the call is HEAD", "HEAD", 200, [], "empty"],
    ];
  cases.forEach(([what, method, status, headers, expected]) => {
    it(`returns "${expected}" for an answer with ${what}`, () => {
      assert.equal(readAnswerFraming(method, { status, headers }), expected);
    });
  });
});
