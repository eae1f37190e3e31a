// Writes the code cache of the main bundle: runs it as an instance on loopback, before a store
// and a server that answer the least that is needed, sends it calls of each kind, and stores
// what V8 has compiled by then. build_platform.js runs it with the options of Node that the
// platform uses, as a cache holds only for the options under which it was made.
const { readFileSync, rmSync, mkdtempSync, writeFileSync } = require("node:fs");
const { createServer, request } = require("node:http");
const { tmpdir } = require("node:os");
const { join } = require("node:path");

const [loaderPath, mainPath] = process.argv.slice(2);
/** Time after which the cache is written whatever has run by then, in milliseconds. */
const MAX_RUN_MS = 8_000;
/** Time for which the instance runs without calls, so that its periodic tasks run, in milliseconds. */
const IDLE_MS = 700;
const ROUNDS = 4;
const HOST = `127.${64 + process.pid % 128}.${(process.pid >> 7) % 256}.9`;
const CALLS_PORT = 8_144;
const EVENT = `id: 1\ndata: ${"t".repeat(60)}\n\n`;

const listen = (answer) =>
  new Promise((resolve) => {
    const server = createServer((message, response) => {
      message.resume();
      message.on("end", () => answer(message, response));
    });
    server.listen(0, "127.0.0.1", () => resolve(server.address().port));
  });

/** Answers as a server: with events where the path asks for them, else with one body. */
function answerCall({ headers, url }, response) {
  response.setHeader(
    "x-havenspur-attempt-id",
    headers["x-havenspur-attempt-id"] ?? "",
  );
  response.setHeader("x-havenspur-response-signature", "build");
  if (url.startsWith("/plain")) return response.end("done");
  response.setHeader("content-type", "text/event-stream");
  response.write(EVENT);
  setTimeout(() => response.write(EVENT), 10);
  setTimeout(() => response.end(EVENT), 20);
}

function createEntries(serverPort) {
  const route = (name, kind, service) => ({
    name,
    kind,
    service,
    host: "build.example",
    prefix: `/${name}/`,
    timeoutMs: 5_000,
    targetLatencyMs: 1_000,
    maxAttempts: kind === "unsafe" ? 1 : 2,
    resumable: kind === "streaming",
  });
  const server = (service) => ({
    service,
    address: `127.0.0.1:${serverPort}`,
    zone: "z",
    version: "v1",
    slots: 8,
    state: "ready",
    warmupRemainingMs: 0,
    sequence: 1,
    born: 1,
  });
  const entries = {
    "op/config": {
      version: 1,
      routes: [
        route("stream", "streaming", "model"),
        route("plain", "unsafe", "records"),
        route("plain-safe", "safe", "records"),
      ],
      services: [
        {
          name: "model",
          maxConnections: 100,
          engine: { slots: 8, kvCacheTokens: 100_000 },
        },
        { name: "records", maxConnections: 100 },
      ],
      tenants: [{
        name: "team",
        apiKeys: ["key"],
        requestsPerS: 1_000,
        burst: 1_000,
      }],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 100_000,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
    },
    "servers/m-1": server("model"),
    "servers/m-2": server("model"),
    "servers/r-1": server("records"),
  };
  return Object.entries(entries).map(([key, value]) => ({
    key,
    value: Buffer.from(JSON.stringify(value)).toString("base64"),
    revision: 1,
  }));
}

/** Answers as the store does. */
function createStoreAnswer(items) {
  return ({ url }, response) => {
    const send = (body) => {
      response.setHeader("content-type", "application/json");
      response.end(JSON.stringify(body));
    };
    switch (url.split("/")[2].split("?")[0]) {
      case "kv-range":
        return send({ items, hasMore: false, atRevision: 1 });
      case "kv-watch":
        return setTimeout(() => send({ events: [], atRevision: 1 }), 300);
      case "kv-lease":
        return send({ lease: 1, ttlMs: 30_000 });
      case "kv-txn":
        return send({ revision: 2 });
      default:
        return send({});
    }
  };
}

function call(path, body) {
  return new Promise((resolve) => {
    const sent = request({
      host: HOST,
      port: CALLS_PORT,
      path,
      method: "POST",
      timeout: 2_000,
      headers: {
        host: "build.example",
        authorization: "Bearer key",
        "x-havenspur-attempt-id": String(Math.random()),
        "x-havenspur-deadline-remaining": "5000",
        ...(path.startsWith("/stream")
          ? {
            "x-havenspur-model": "m",
            "x-havenspur-token-counts": "60,10",
            "x-havenspur-prompt-prefix": `a:20,b:20,${Math.random()}:20`,
          }
          : {}),
      },
    });
    sent.on("response", (answer) => answer.resume().on("close", resolve));
    sent.on("timeout", () => sent.destroy());
    sent.on("error", resolve);
    sent.end(body);
  });
}

const wait = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

async function main() {
  const folder = mkdtempSync(join(tmpdir(), "code-cache-"));
  process.on("exit", () => rmSync(folder, { recursive: true, force: true }));
  const serverPort = await listen(answerCall);
  const storePort = await listen(createStoreAnswer(createEntries(serverPort)));
  const settings = join(folder, "node.conf");
  writeFileSync(
    settings,
    [
      "nodeName=build",
      `ipAddress=${HOST}`,
      "zone=z",
      "region=r",
      "zones.z=r",
      `listen.front=${HOST}:${CALLS_PORT}`,
      `listen.ready=${HOST}:8140`,
      `listen.directory=${HOST}:8143`,
      `listen.control=${HOST}:8146`,
      "internalPorts=7660,7660",
      `seeds=${HOST}:8146`,
      "bounds.graceS=1",
      `platform.address=127.0.0.1:${storePort}`,
    ].join("\n"),
  );
  process.env.HAVENSPUR_SETTINGS = settings;
  const { runMain, writeCache } = new Function(
    "require",
    "__dirname",
    `${readFileSync(loaderPath, "utf8")}; return { runMain, writeCache };`,
  )(require, __dirname);
  // The program takes its arguments and its log from this process.
  process.argv.splice(2);
  const script = runMain(mainPath, require);
  const finish = () => {
    writeCache(mainPath, script);
    process.exit(0);
  };
  setTimeout(finish, MAX_RUN_MS);
  await wait(IDLE_MS);
  for (let round = 0; round < ROUNDS; round++) {
    await call("/stream/x", "s".repeat(2_000));
    await call("/plain/x", "p".repeat(200));
    await call("/plain-safe/x", "");
  }
  await wait(IDLE_MS);
  finish();
}

void main();
