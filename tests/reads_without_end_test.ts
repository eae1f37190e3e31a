// Guards against an answer without end of the store, an engine or another instance that fills the memory, or that is waited for without end.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EtcdStore } from "../adapters/etcd_store.ts";
import { HttpBackendClient } from "../adapters/http_backend_client.ts";
import { createHttpInstanceList } from "../adapters/http_platform.ts";
import { SocketPeerTransport } from "../adapters/socket_peer_transport.ts";
import { readPeerState } from "../adapters/state_transfer.ts";
import { OperatorClient } from "../bin/operator_client.ts";
import { Caller } from "../client/caller.ts";
import { END_OF_STREAM } from "../engine/mod.ts";
import { toAttemptId, toInstanceId, toRegionId } from "../ids/mod.ts";
import { createSilentLogger } from "../logs/mod.ts";
import { NO_METRICS } from "../metrics/mod.ts";
import { PlatformStore } from "../platform/platform_store.ts";
import { readCachedParts } from "../platform/read_cached_parts.ts";
import {
  createBackendCall,
  createBackendServer,
} from "./backend_server_fixture.ts";
import {
  awaitClosed,
  type EndlessBytes,
  isInTime,
  sendForEver,
} from "./endless_server_fixture.ts";
import { startRawServer } from "./raw_http.ts";
import { toChunk } from "./stream_fixture.ts";
import { waitUntil } from "./wait_until.ts";

/** Time beside a timeout, and for the end of a connection, in milliseconds. */
const MARGIN_MS = 2_000;

const HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n";
const BYTES: Readonly<Record<string, EndlessBytes>> = {
  "a status line, slowly": {
    beginning: "HTTP/1.1 200 O",
    repeated: "K",
    isSlow: true,
  },
  "a body": { beginning: `${HEAD}{"items":[`, repeated: '"x",' },
  "a body of blank lines": { beginning: HEAD, repeated: "\n" },
  "a body, slowly": { beginning: HEAD, repeated: " ", isSlow: true },
};

/** What closes the client and the server of a read. */
type CleanUps = (() => void)[];

/** A reader of an answer, which calls a server at an address. */
interface Reader {
  readonly read: (address: string, cleanUps: CleanUps) => Promise<unknown>;
  /** Maximum size of what it keeps, in bytes. */
  readonly maxBytes: number;
  /** Timeout of the read, in milliseconds. Default: 2,000 at most. */
  readonly timeoutMs?: number;
}

const MEBIBYTE = 1_048_576;
/** Bytes that are sent and not read, in the buffers of the system. */
const UNREAD_BYTES = 16 * MEBIBYTE;

function useStore(address: string, cleanUps: CleanUps): PlatformStore {
  const store = new PlatformStore(address);
  cleanUps.push(() => void store.close());
  return store;
}

function useBackends(cleanUps: CleanUps): HttpBackendClient {
  const client = new HttpBackendClient();
  cleanUps.push(() => void client.close());
  return client;
}

/** Reads a stream that has ended and has more bytes. */
async function readStream(client: HttpBackendClient, address: string) {
  const server = createBackendServer(address);
  const attempt = toAttemptId("a");
  const answer = await client.resume(server, attempt, {
    afterIndex: 0,
    signal: new AbortController().signal,
  });
  if (answer.isErr() || answer.value.kind !== "stream") return;
  for await (const { data } of answer.value.events) {
    if (data === END_OF_STREAM) return;
  }
}

const READERS: Readonly<Record<string, Reader>> = {
  "an entry of the store": {
    read: (address, cleanUps) => useStore(address, cleanUps).read("key"),
    maxBytes: 16 * MEBIBYTE,
  },
  "a prefix of the store": {
    read: (address, cleanUps) =>
      useStore(address, cleanUps).readSnapshot("prefix/"),
    maxBytes: 16 * MEBIBYTE,
  },
  "changes of the store": {
    read: (address, cleanUps) =>
      useStore(address, cleanUps).awaitChanges({
        prefix: "",
        afterRevision: 1,
        waitMs: 0,
      }),
    maxBytes: 16 * MEBIBYTE,
  },
  "the cached parts of an engine": {
    read: (address) => readCachedParts(address, new AbortController().signal),
    maxBytes: 4 * MEBIBYTE,
  },
  "the state of a peer": {
    read: (address) => readPeerState(address, { era: 0, revision: 0 }),
    maxBytes: 64 * MEBIBYTE,
  },
  "a call of a peer": {
    read: (address, cleanUps) => {
      const transport = new SocketPeerTransport({
        host: "127.0.0.1",
        port: 0,
        token: "token",
        logger: createSilentLogger(),
        metrics: NO_METRICS,
      });
      cleanUps.push(() => void transport.close());
      return transport.call(
        {
          id: toInstanceId("i1"),
          region: toRegionId("north"),
          failureDomain: "north-a",
          peerAddress: address,
          callerUrl: `http://${address}`,
          isLeaving: false,
        },
        "configuration.pull",
        {} as never,
      );
    },
    maxBytes: 64 * MEBIBYTE,
  },
  "the list of instances": {
    read: (address) => createHttpInstanceList(`http://${address}`).read(),
    maxBytes: 64 * MEBIBYTE,
  },
  "an entry of etcd": {
    read: (address, cleanUps) => {
      const store = new EtcdStore(`http://${address}`);
      cleanUps.push(() => void store.close());
      return store.read("key");
    },
    maxBytes: 64 * MEBIBYTE,
    timeoutMs: 5_000,
  },
  "the load of an engine": {
    read: (address, cleanUps) =>
      useBackends(cleanUps).readLoad(
        createBackendServer(address),
        AbortSignal.timeout(1_000),
      ),
    maxBytes: 64 * MEBIBYTE,
  },
  "a call of the operator": {
    read: (address) =>
      new OperatorClient({ servers: [`http://${address}`], token: "token" })
        .call("GET", "/x"),
    maxBytes: 64 * MEBIBYTE,
    timeoutMs: 10_000,
  },
  "a call of the caller's library": {
    read: async (address, cleanUps) => {
      const caller = new Caller({
        entries: [`http://${address}`],
        token: "token",
      });
      cleanUps.push(() => void caller.close());
      return await caller.call("/x", { deadlineMs: 1_000 });
    },
    maxBytes: 64 * MEBIBYTE,
  },
};

/** Has a server send bytes without end, and checks that a read of them ends, and their connection. */
async function checkRead(
  { maxBytes, read, timeoutMs = 2_000 }: Reader,
  bytes: EndlessBytes,
): Promise<void> {
  const cleanUps: CleanUps = [];
  const server = await startRawServer((_, socket) =>
    sendForEver(socket, bytes)
  );
  cleanUps.push(() => server.close());
  try {
    const result = read(server.address, cleanUps);
    const maxMs = timeoutMs + MARGIN_MS;
    assert.ok(await isInTime(result, maxMs), "the read waits");
    for (const socket of server.sockets) {
      assert.ok(
        await isInTime(awaitClosed(socket), MARGIN_MS),
        "the connection is kept",
      );
      const sentBytes = socket.bytesWritten;
      assert.ok(
        sentBytes < maxBytes + UNREAD_BYTES,
        `the server sent ${sentBytes} bytes`,
      );
    }
  } finally {
    cleanUps.forEach((cleanUp) => cleanUp());
  }
}

[true, false].forEach((isSlow) => {
  // Reads of floods take turns: each must get as many bytes as it can before its timeout.
  const options = { concurrency: isSlow };
  describe(`bytes without end, ${isSlow ? "slow" : "fast"}`, options, () => {
    Object.entries(BYTES)
      .filter(([, bytes]) => (bytes.isSlow ?? false) === isSlow)
      .forEach(([name, bytes]) => {
        Object.entries(READERS).forEach(([reader, parts]) => {
          it(`end the read of ${reader}: ${name}`, () =>
            checkRead(parts, bytes));
        });
      });
  });
});

describe("bytes without end behind a stream", () => {
  const beginning = [
    "HTTP/1.1 200 OK",
    "Content-Type: text/event-stream",
    "Transfer-Encoding: chunked",
    "",
    toChunk("id: a/1\ndata: [DONE]\n\n"),
  ].join("\r\n");
  [true, false].forEach((isSlow) => {
    it(`end its connection, ${isSlow ? "slowly" : "fast"}`, async () => {
      const read = (address: string, cleanUps: CleanUps) =>
        readStream(useBackends(cleanUps), address);
      const parts = { read, maxBytes: MEBIBYTE };
      await checkRead(parts, { beginning, repeated: toChunk(":"), isSlow });
    });
  });
});

describe("many bodies without end at a time for the OpenAI listener", () => {
  const count = 8;
  const sizeBytes = 32 * MEBIBYTE;
  /** How many of them fit into the maximum for all. */
  const maxKept = 4;

  it("are given up beyond a maximum for all, and fail no short answer", async () => {
    const cleanUps: CleanUps = [];
    const client = useBackends(cleanUps);
    const endless = await startRawServer((_, socket) => {
      socket.write(HEAD);
      socket.write(Buffer.alloc(sizeBytes));
    });
    const whole = await startRawServer((_, socket) =>
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    );
    cleanUps.push(() => endless.close(), () => whole.close());
    const ended = new AbortController();
    let failures = 0;
    const floods = Array.from({ length: count }, async () => {
      const call = createBackendCall(endless.address);
      const result = await client.dispatch(call, ended.signal);
      if (result.isErr() && !ended.signal.aborted) failures++;
    });
    await waitUntil(() => failures >= count - maxKept, 5_000);
    const other = await client.dispatch(
      createBackendCall(whole.address),
      ended.signal,
    );
    assert.ok(other.isOk());
    ended.abort();
    await Promise.all(floods);
    cleanUps.forEach((cleanUp) => cleanUp());
  });
});
