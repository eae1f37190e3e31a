import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { systemClock } from "../adapters/system_clock.ts";
import {
  breakConnection,
  listBrokenRequests,
} from "../tests/broken_connection_fixture.ts";
import { NEW_ENGINE } from "./engine_core.ts";
import { EngineServer } from "./engine_server.ts";
import { MemoryStore } from "./memory_store.ts";
import { PlainServer } from "./plain_server.ts";
import { PlatformServer } from "./platform_server.ts";
import { startStoreStandin } from "./platform_store_server.ts";
import { RecordingServer } from "./recording_server.ts";

const HOST = "127.0.0.1";

/** A running stand-in. */
interface Standin {
  readonly port: number;
  close(): void | Promise<void>;
}

async function startLoopback(
  server: EngineServer | PlainServer | PlatformServer,
): Promise<Standin> {
  await server.start();
  return {
    port: Number(new URL(server.url).port),
    close: () => server.crash(),
  };
}

const STANDINS: Readonly<
  Record<string, readonly [path: string, start: () => Promise<Standin>]>
> = {
  store: ["/havenspur/kv-txn", async () => {
    const { address, close } = await startStoreStandin(
      new MemoryStore(systemClock),
    );
    return { port: Number(address.split(":")[1]), close };
  }],
  platform: [
    "/v3/kv/txn",
    () => startLoopback(new PlatformServer(systemClock)),
  ],
  "plain service": [
    "/a",
    () => startLoopback(new PlainServer(systemClock, "north")),
  ],
  engine: ["/v1/chat/completions", () =>
    startLoopback(
      new EngineServer({
        clock: systemClock,
        speed: NEW_ENGINE,
        region: "north",
        checksFencing: false,
        port: 0,
      }),
    )],
  "recording server": ["/a", async () => {
    const server = new RecordingServer({
      id: "s1",
      service: "work",
      nowMs: () => systemClock.nowMs(),
      record: () => {},
      recordRefusal: () => {},
      recordRejection: () => {},
      onCrashed: () => {},
    });
    return { port: await server.open(), close: () => server.crash() };
  }],
};

for (const [name, [path, start]] of Object.entries(STANDINS)) {
  // A rejection that nobody takes ends the process, with all stand-ins and what uses them.
  describe(`the stand-in for the ${name}, when a connection breaks`, () => {
    for (const request of listBrokenRequests("POST", path)) {
      it(`leaves no error to the process after ${request.name}`, async () => {
        const standin = await start();
        const rejections: unknown[] = [];
        const record = (error: unknown) => rejections.push(error);
        process.on("unhandledRejection", record);
        await breakConnection(HOST, standin.port, request);
        await standin.close();
        process.off("unhandledRejection", record);
        assert.deepEqual(rejections, []);
      });
    }
  });
}
