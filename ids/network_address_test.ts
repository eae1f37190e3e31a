import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { parseAddress } from "./network_address.ts";

describe("parseAddress()", () => {
  it("returns host and port", () => {
    const parsed = parseAddress("10.0.0.1:8144");
    assert.deepEqual(parsed, { host: "10.0.0.1", port: 8_144 });
  });

  describe("when nothing can be sent to the text", () => {
    const texts = [
      "",
      "b",
      ":1",
      "b:",
      "b:0",
      "b:x",
      "b:65536",
      "b:-1",
      "b: 1",
    ];
    for (const text of texts) {
      it(`returns undefined for "${text}"`, () => {
        assert.equal(parseAddress(text), undefined);
      });
    }
  });
});
