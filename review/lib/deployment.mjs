// A small deployment: a store with a configuration, engines, and machines in one or more regions.
import { startEngine } from "./engine.mjs";
import { Machine, pickNetwork, sleep } from "./fleet.mjs";
import { startStore } from "./store.mjs";

export const HOST_NAME = "ficu95.example";

/** Returns a route with the fields of the page. */
export const route = (name, prefix, kind, service, more = {}) => ({
  name, host: HOST_NAME, prefix, kind, timeoutMs: 6000, targetLatencyMs: 800, priority: 0, service,
  maxAttempts: kind === "unsafe" ? 1 : 2, sessionAffinity: false, resumable: false, homeRegions: [], ...more,
});

/** Returns a service with the fields of the page. */
export const service = (name, more = {}) => ({
  name, healthPath: "/health", maxConnections: 110, protocol: "h1", tls: false, warmupS: 0, warmupPerS: 0, ...more,
});

/**
 * Starts all parts, and resolves once all machines are ready.
 *
 * @param machines Number of machines in each region.
 * @param engines Rows of `{ id, service, region, answer, more }`.
 */
export async function startDeployment({ onEnd, record, regions, machines, routes, services, engines, bounds }) {
  const block = await pickNetwork();
  const store = await startStore(`${block}.1`, 8142);
  onEnd(() => store.close());
  const config = (version, changes = {}) => ({
    version, routes, services,
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 }, ...changes,
  });
  store.put("op/config", config(1));
  const running = [];
  for (const [index, { id, service: name, region, answer, more }] of engines.entries()) {
    const engine = await startEngine({ id, host: `${block}.${100 + index}`, port: 8080, answer });
    onEnd(() => engine.close());
    // An engine writes its entry again with a higher number in each interval.
    let sequence = 1;
    engine.state = more ?? {};
    engine.write = () => store.put(`servers/${id}`, engine.entry(name, region, { ...engine.state, sequence: sequence++ }));
    engine.write();
    const beat = setInterval(() => engine.isBeating !== false && engine.write(), 1200);
    onEnd(() => clearInterval(beat));
    running.push(engine);
  }
  const hosts = regions.flatMap((region, at) =>
    Array.from({ length: machines }, (_, index) => ({ region, host: `${block}.${11 + 10 * at + index}` }))
  );
  const seeds = hosts.slice(0, 3).map(({ host }) => host);
  const fleet = hosts.map(({ host, region }, index) =>
    new Machine({ name: `front-${region}-a-${index + 1}`, host, region, regions, seeds, store: store.address, bounds })
  );
  fleet.forEach((machine) => onEnd(() => machine.destroy()));
  fleet.forEach((machine) => machine.start());
  await Promise.all(fleet.map((machine) => machine.awaitReady()));
  await sleep(2_000);
  record(`${fleet.length} machines are ready, ${running.length} engines registered`);
  return { block, store, engines: running, machines: fleet, seeds, config };
}

let calls = 0;
/** Returns the text of a request, with a new attempt id. */
export function formatRequest(method, path, headers = {}, body = "") {
  const id = headers["X-Havenspur-Attempt-Id"] ?? `a${process.pid.toString(16)}${(++calls).toString(16).padStart(6, "0")}`;
  const all = { Host: HOST_NAME, "X-Havenspur-Attempt-Id": id, "X-Havenspur-Deadline-Remaining": "6000", ...headers };
  if (method === "POST") all["Content-Length"] = Buffer.byteLength(body);
  const rows = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`).join("");
  return { id, text: `${method} ${path} HTTP/1.1\r\n${rows}\r\n${body}` };
}
