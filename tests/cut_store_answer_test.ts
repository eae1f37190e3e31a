// Guards against an answer of the store that is cut before its body, and is taken for one without entries.
import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { PlatformStore } from "../platform/platform_store.ts";
import { CLEAN_UPS } from "./clean_ups.ts";
import { startRawServer } from "./raw_http.ts";

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

const UNFRAMED_HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

/** Returns a client of a store that sends the head of each answer and a part of its body. */
async function openStore(part: string): Promise<PlatformStore> {
  const server = await startRawServer((_, socket) =>
    socket.end(UNFRAMED_HEAD + part)
  );
  const store = new PlatformStore(server.address);
  CLEAN_UPS.push(() => server.close(), () => void store.close());
  return store;
}

describe("PlatformStore", () => {
  ["", '{"items":[', "{"].forEach((part) => {
    describe(`when an answer is cut after ${JSON.stringify(part)}`, () => {
      it("fails to read an entry, a snapshot and changes", async () => {
        const store = await openStore(part);
        const results = [
          await store.read("a"),
          await store.readSnapshot("a"),
          await store.awaitChanges({
            prefix: "a",
            afterRevision: 1,
            waitMs: 1,
          }),
        ];
        assert.deepEqual(results.map((each) => each.isErr()), [
          true,
          true,
          true,
        ]);
      });

      it("does not know whether it has written, and has no lease", async () => {
        const store = await openStore(part);
        const written = await store.swap({
          key: "a",
          value: "b",
          expectedRevision: 0,
        });
        assert.equal(written.isErr() && written.error.kind, "unknown");
        assert.ok((await store.grantLease(1_000)).isErr());
      });
    });
  });
});
