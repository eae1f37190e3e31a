// Guards against a call that runs twice, as a host was lost after it had the call.
import assert from "node:assert/strict";
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { ConnectionPool } from "../adapters/connection_pool.ts";
import { HttpBackendClient } from "../adapters/http_backend_client.ts";
import { createBackendCall } from "./backend_server_fixture.ts";
import { startRawServer } from "./raw_http.ts";

/** Channel on which Node tells of each connection that this process opens. */
const CONNECTIONS = "net.client.socket";
const CODES = ["EHOSTUNREACH", "ENETUNREACH", "ECONNREFUSED"] as const;

/** Sends a call to an address with each client, and returns the kinds of failure. */
async function sendWithEach(address: string) {
  const pool = new ConnectionPool();
  const backend = new HttpBackendClient();
  const call = createBackendCall(address);
  const kinds = await Promise.all([
    new Promise<string>((resolve) => {
      pool.send({
        address,
        callId: "",
        method: "POST",
        target: "/",
        headers: [],
        body: Buffer.from("work"),
        maxConnections: 1,
      }, {
        onHead: () => {},
        onData: () => true,
        onEnd: () => resolve("answered"),
        onFailure: ({ kind }) => resolve(kind),
      });
    }),
    backend.dispatch(call, new AbortController().signal)
      .then((answer) => answer.isErr() ? answer.error.kind : "answered"),
  ]);
  pool.close();
  await backend.close();
  return kinds;
}

/** Has the system report an error on a connection as soon as its server has the call. */
async function sendAndLose(code: string): Promise<readonly string[]> {
  const opened: Socket[] = [];
  const collect = (message: unknown) =>
    void opened.push((message as { readonly socket: Socket }).socket);
  subscribe(CONNECTIONS, collect);
  const server = await startRawServer((_, { remotePort }) => {
    const error = new Error(`read ${code}`);
    opened.find(({ localPort }) => localPort === remotePort)!
      .destroy(Object.assign(error, { code, syscall: "read" }));
  });
  const kinds = await sendWithEach(server.address);
  unsubscribe(CONNECTIONS, collect);
  server.close();
  return kinds;
}

describe("a call", () => {
  CODES.forEach((code) => {
    it(`that was sent may have run if its connection fails with ${code}`, async () => {
      assert.deepEqual(await sendAndLose(code), ["unknown", "broken"]);
    });
  });

  it("was not sent if its connection is refused", async () => {
    const server = await startRawServer(() => {});
    server.close();
    assert.deepEqual(await sendWithEach(server.address), [
      "not-sent",
      "not-sent",
    ]);
  });
});
