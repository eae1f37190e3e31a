// Clients upload bodies in small chunks, as many at once as in a burst.
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import net from "node:net";
import { readFileSync } from "node:fs";
import { parseAnswer } from "../lib/client.mjs";
import { formatRequest, route, service, startDeployment } from "../lib/deployment.mjs";
import { runCase, sleep } from "../lib/fleet.mjs";

const WAVES = 3;
/** Uploads at a time to each machine: the usual number, and in a burst of 2.5 times that. */
const UPLOADS = 8;
const BURST_X = 2.5;
/** Within `maxBodyBytes`, which is 4,194,304. */
const BODY_BYTES = 4_000_000;
/** One row of the upload is one chunk. */
const ROW_BYTES = 64;
const RECORD_CLIENTS = 20;
const RECORD_WORK_MS = 1_500;
const RESTART_AFTER_MS = 500;
const UPLOAD_LIMIT_MS = 6_000;

const row = `${ROW_BYTES.toString(16)}\r\n${"0042;sheet;label;".padEnd(ROW_BYTES - 1, "x")}\n\r\n`;
const rows = Buffer.from(row.repeat(250));

/** Sends one upload; resolves with its status, or how the connection ended. */
function upload(host) {
  return new Promise((resolve) => {
    const socket = net.connect(8144, host);
    let left = BODY_BYTES / ROW_BYTES / 250;
    let isDone = false;
    const end = (how) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      socket.destroy();
      resolve(how);
    };
    const timer = setTimeout(() => end("time limit"), UPLOAD_LIMIT_MS);
    const send = () => {
      while (left > 0) {
        left--;
        if (!socket.write(rows)) return socket.once("drain", send);
      }
      if (left === 0) socket.write("0\r\n\r\n");
      left = -1;
    };
    socket.on("connect", () => {
      const { text } = formatRequest("POST", "/drawer/7", {}, "");
      socket.write(text.replace("Content-Length: 0", "Transfer-Encoding: chunked"));
      send();
    });
    socket.on("data", (chunk) => end(String(chunk.toString("latin1").split(" ")[1])));
    socket.on("error", ({ code }) => end(code));
    socket.on("close", () => end("closed"));
  });
}

await runCase(process.argv[2] ?? join(dirname(fileURLToPath(import.meta.url)), "record.txt"), async ({ isTrouble, onEnd, record }) => {
  const passedOn = new Set();
  const { machines } = await startDeployment({
    onEnd,
    record,
    regions: ["casablanca"],
    machines: 2,
    routes: [route("r-record", "/record/", "unsafe", "folia-app"), route("r-drawer", "/drawer/", "unsafe", "drawer-app")],
    services: [service("folia-app"), service("drawer-app", { maxConnections: 370 })],
    engines: ["folia-app", "drawer-app"].map((name) => ({
      id: `i-${name}`,
      service: name,
      region: "casablanca",
      answer: async ({ callId, path }, socket) => {
        passedOn.add(callId);
        record(`run ${callId} ${path} at i-${name}`);
        await sleep(path.startsWith("/record/") ? RECORD_WORK_MS : 50);
        if (socket.destroyed) return;
        socket.write(`HTTP/1.1 200 OK\r\nX-Havenspur-Attempt-Id: ${callId}\r\n` +
          `X-Havenspur-Response-Signature: 3e1b.${callId}\r\nContent-Length: 5\r\n\r\nsaved`);
      },
    })),
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
          const isLost = id !== undefined && sent > 1 && passedOn.has(id) && !isOver;
          if (isLost) {
            lost.push(id);
            record(`LOST: ${machine.name} passed request ${id}, sent as number ${sent} of its connection, on to i-folia-app and closed the connection without an answer`);
          }
          resolve();
        });
      });
      await sleep(200);
    }
  };
  const readMemoryMb = ({ pid }) => {
    try {
      return Math.round(Number(/VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))[1]) / 1024);
    } catch {
      return 0;
    }
  };
  const clients = machines.flatMap((machine) => Array.from({ length: RECORD_CLIENTS }, () => keepSending(machine)));
  const count = isTrouble ? UPLOADS * BURST_X : UPLOADS;
  const uploadWave = async (machine, wave) => {
    let peakMb = 0;
    const meter = setInterval(() => peakMb = Math.max(peakMb, readMemoryMb(machine)), 50);
    const results = await Promise.all(Array.from({ length: count }, async (_, at) => {
      record(`sent upload ${wave}.${at + 1} to ${machine.name}`);
      const how = await upload(machine.host);
      record(`ended upload ${wave}.${at + 1} to ${machine.name}: ${how}`);
      return how;
    }));
    clearInterval(meter);
    const sums = Object.entries(Object.groupBy?.(results, (how) => how) ?? results.reduce((all, how) => ({ ...all, [how]: [...all[how] ?? [], how] }), {}))
      .map(([how, all]) => `${all.length} x ${how}`).join(", ");
    record(`wave ${wave} at ${machine.name}: ${count} uploads of ${BODY_BYTES} bytes in chunks of ${ROW_BYTES}: ${sums}; peak memory ${peakMb} MB of 350`);
    await sleep(100);
    if (machine.isRunning) return;
    const { code, signal } = machine.ends.at(-1);
    const reason = /FATAL ERROR: .*/.exec(machine.logs)?.[0] ?? "no message";
    record(`${machine.name} ended by itself (code ${code}, signal ${signal}): ${reason}`);
    await sleep(RESTART_AFTER_MS);
    machine.start();
    await machine.awaitReady();
    record(`${machine.name} was started again by the platform`);
  };
  for (let wave = 1; wave <= WAVES; wave++) {
    await sleep(2 * RECORD_WORK_MS + 1_000);
    await Promise.all(machines.map((machine) => uploadWave(machine, wave)));
  }
  isOver = true;
  await Promise.all(clients);
  machines.forEach(({ ends, name }) => record(`${name} ended by itself ${ends.length} times`));
  record(`${answered} record requests answered, ${lost.length} LOST (the rule allows 3)`);
  if (!isTrouble && answered === 0) throw new Error("nothing is answered without the disruption");
  return lost.length > 3;
});
