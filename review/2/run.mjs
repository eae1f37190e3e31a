// Clients send prompts with a long history of shared parts, as many at once as in a burst.
import { readFileSync } from "node:fs";
import net from "node:net";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { parseAnswer, sendRaw } from "../lib/client.mjs";
import { formatRequest, route, service, startDeployment } from "../lib/deployment.mjs";
import { runCase, sleep } from "../lib/fleet.mjs";

const WAVES = 3;
/** Streams at a time at each machine: the usual number, and in a burst of 2.5 times that. */
const STREAMS = 24;
const BURST_X = 2.5;
const WAVE_MS = 9_000;
const ENGINES = 5;
const SLOTS = 64;
const SESSIONS = 4;
/** Parts of a session's history, all shared: short turns, then documents. */
const TURNS = 900;
const TURN_TOKENS = 8;
const DOCUMENTS = 330;
const DOCUMENT_TOKENS = 256;
const OWN_TOKENS = 40;
const EVENTS = 10;
const EVENT_GAP_MS = 200;
const RECORD_CLIENTS = 20;
const RECORD_WORK_MS = 1_500;
const RESTART_AFTER_MS = 500;
const MAX_HEADER_BYTES = 16_384;

const toId = (n) => (0x10000000 + n).toString(16);
const createPrefix = (session, n) => [
  ...Array.from({ length: TURNS }, (_, at) => `${toId(session * 100_000 + at)}:${TURN_TOKENS}`),
  ...Array.from({ length: DOCUMENTS }, (_, at) => `${toId(session * 100_000 + 50_000 + at)}:${DOCUMENT_TOKENS}`),
  `${(0x8000000 + n).toString(16)}:${OWN_TOKENS}`,
].join(",");
const PROMPT_TOKENS = TURNS * TURN_TOKENS + DOCUMENTS * DOCUMENT_TOKENS + OWN_TOKENS;

await runCase(process.argv[2] ?? join(dirname(fileURLToPath(import.meta.url)), "record.txt"), async ({ isTrouble, onEnd, record }) => {
  const passedOn = new Set();
  const createEngine = (name) => {
    let running = 0;
    return async ({ callId }, socket) => {
      if (running >= SLOTS) {
        socket.write(`HTTP/1.1 503 Service Unavailable\r\nX-Havenspur-Attempt-Id: ${callId}\r\n` +
          "X-Havenspur-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        return;
      }
      running++;
      record(`run ${callId} at ${name}`);
      socket.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" +
        `X-Havenspur-Attempt-Id: ${callId}\r\nX-Havenspur-Response-Signature: 3e1b.${callId}\r\n\r\n`);
      for (let at = 1; at <= EVENTS && !socket.destroyed; at++) {
        const text = `id: ${at}\ndata: piece ${at}\n\n`;
        socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
        await sleep(EVENT_GAP_MS);
      }
      running--;
      if (!socket.destroyed) socket.write("0\r\n\r\n");
    };
  };
  const app = async ({ callId }, socket) => {
    passedOn.add(callId);
    record(`run ${callId} at i-app`);
    await sleep(RECORD_WORK_MS);
    if (socket.destroyed) return;
    socket.write(`HTTP/1.1 200 OK\r\nX-Havenspur-Attempt-Id: ${callId}\r\n` +
      `X-Havenspur-Response-Signature: 3e1b.${callId}\r\nContent-Length: 5\r\n\r\nsaved`);
  };
  const engineFields = { slots: SLOTS, kvCacheTokens: 335639, kvTokenBytes: 163840, linkMbps: 550000, models: [{ name: "m" }] };
  const { machines } = await startDeployment({
    onEnd,
    record,
    regions: ["recife"],
    machines: 2,
    routes: [
      route("r-record", "/record/", "unsafe", "assinatura-app"),
      route("r-notes", "/notes/", "streaming", "barista-lm", { sessionAffinity: true, timeoutMs: 8000, targetLatencyMs: 1000, targetGapMs: 400 }),
    ],
    services: [service("assinatura-app"), service("barista-lm", { maxConnections: 370, engine: engineFields })],
    engines: [
      { id: "i-app", service: "assinatura-app", region: "recife", answer: app },
      ...Array.from({ length: ENGINES }, (_, n) => ({ id: `i-lm${n}`, service: "barista-lm", region: "recife", answer: createEngine(`i-lm${n}`) })),
    ],
  });
  const lost = [];
  let answered = 0;
  let isOver = false;
  /** A client that sends one request after the other on a connection that it keeps. */
  const keepSending = async (machine) => {
    while (!isOver) {
      await new Promise((resolve) => {
        const socket = net.connect(8144, machine.host);
        let sent = 0;
        let id;
        let bytes = Buffer.alloc(0);
        const send = () => {
          const request = formatRequest("POST", "/record/1", {}, "note");
          id = request.id;
          sent++;
          record(`sent ${id} POST /record/1 to ${machine.name}, number ${sent} of its connection`);
          socket.write(request.text);
        };
        socket.on("connect", send);
        socket.on("data", (chunk) => {
          bytes = Buffer.concat([bytes, chunk]);
          const { headers, isComplete, status } = parseAnswer(bytes);
          if (!isComplete) return;
          bytes = Buffer.alloc(0);
          if (status === 200) answered++;
          record(`answered ${id}: ${status}`);
          id = undefined;
          if (isOver || headers.connection === "close") socket.destroy();
          else send();
        });
        socket.on("error", () => {});
        socket.on("close", () => {
          if (id !== undefined && sent > 1 && passedOn.has(id) && !isOver) {
            lost.push(id);
            record(`LOST: ${machine.name} passed request ${id}, sent as number ${sent} of its connection, on to i-app and closed the connection without an answer`);
          }
          resolve();
        });
      });
      await sleep(200);
    }
  };
  const readMemoryMb = ({ pid }) => {
    try {
      return Math.round(Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))[1]) / 1024);
    } catch {
      return 0;
    }
  };
  const clients = machines.flatMap((machine) => Array.from({ length: RECORD_CLIENTS }, () => keepSending(machine)));
  const headerBytes = formatRequest("POST", "/notes/1", { "X-Havenspur-Prompt-Prefix": createPrefix(1, 1) }).text.length + 100;
  record(`prompts of ${PROMPT_TOKENS} tokens in ${TURNS + DOCUMENTS + 1} parts, headers of ${headerBytes} bytes of ${MAX_HEADER_BYTES}`);
  const count = isTrouble ? STREAMS * BURST_X : STREAMS;
  let calls = 0;
  const streamWave = async (machine, wave) => {
    let peakMb = 0;
    const meter = setInterval(() => peakMb = Math.max(peakMb, readMemoryMb(machine)), 50);
    const untilMs = Date.now() + WAVE_MS;
    const sums = {};
    const stream = async () => {
      while (Date.now() < untilMs && machine.isRunning) {
        const n = calls++;
        const { id, text } = formatRequest("POST", "/notes/1", {
          "X-Havenspur-Model": "m",
          "X-Havenspur-Token-Counts": `${PROMPT_TOKENS},120`,
          "X-Havenspur-Prompt-Prefix": createPrefix(n % SESSIONS, n),
          "X-Havenspur-Deadline-Remaining": "8000",
        }, "prompt");
        record(`sent ${id} POST /notes/1 to ${machine.name}`);
        const { how, isComplete, status } = await sendRaw({ host: machine.host, text });
        const end = isComplete ? `${status}` : `${status ?? "no answer"}, ${how}`;
        record(`answered ${id}: ${end}`);
        sums[end] = (sums[end] ?? 0) + 1;
        if (!isComplete) await sleep(300);
      }
    };
    await Promise.all(Array.from({ length: count }, stream));
    clearInterval(meter);
    record(`wave ${wave} at ${machine.name}: ${count} streams at a time: ` +
      `${Object.entries(sums).map(([end, all]) => `${all} x ${end}`).join("; ")}; peak memory ${peakMb} MB of 350`);
    if (machine.isRunning) return;
    const { code, signal } = machine.ends.at(-1);
    record(`${machine.name} ended by itself (code ${code}, signal ${signal}): ${/FATAL ERROR: .*/.exec(machine.logs)?.[0] ?? "no message"}`);
    await sleep(RESTART_AFTER_MS);
    machine.start();
    await machine.awaitReady();
    record(`${machine.name} was started again by the platform`);
  };
  for (let wave = 1; wave <= WAVES; wave++) {
    await sleep(2 * RECORD_WORK_MS + 1_000);
    await Promise.all(machines.map((machine) => streamWave(machine, wave)));
  }
  isOver = true;
  await Promise.all(clients);
  machines.forEach(({ ends, name }) => record(`${name} ended by itself ${ends.length} times`));
  record(`${answered} record requests answered, ${lost.length} LOST (the rule allows 3)`);
  if (!isTrouble && answered === 0) throw new Error("nothing is answered without the disruption");
  return lost.length > 3;
});
