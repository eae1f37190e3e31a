import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallContent, type RepeatedParts } from "./call_content.ts";

const PARTS: RepeatedParts = {
  method: "POST",
  host: "app.example",
  target: "/a/x",
  body: Buffer.from("question"),
};

describe("CallContent", () => {
  it("has the same fingerprint wherever the call comes again", () => {
    const again = { ...PARTS, body: Buffer.from("question") };
    assert.equal(
      new CallContent(PARTS).fingerprint,
      new CallContent(again).fingerprint,
    );
  });

  it("has another one where method, host, path or body differ", () => {
    const others: readonly Partial<RepeatedParts>[] = [
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
