import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallContent, type CallContentParts } from "./call_content.ts";

const PARTS: CallContentParts = {
  method: "POST",
  host: "app.example",
  target: "/a/x",
  body: Buffer.from("question"),
};

describe("CallContent", () => {
  it("has the same fingerprint when the same call is sent again", () => {
    const again = { ...PARTS, body: Buffer.from("question") };
    assert.equal(
      new CallContent(PARTS).fingerprint,
      new CallContent(again).fingerprint,
    );
  });

  it("has another fingerprint when the method, host, path or body differs", () => {
    const others: readonly Partial<CallContentParts>[] = [
      { method: "PUT" },
      { host: "other.example" },
      { target: "/a/y" },
      { body: Buffer.from("another") },
      { target: "/a/xq", body: Buffer.from("uestion") },
    ];
    const names = [{}, ...others].map((more) =>
      new CallContent({ ...PARTS, ...more }).fingerprint
    );
    assert.equal(new Set(names).size, names.length);
  });
});
