// Stand-in of the platform's metadata store, as PROTOCOL.md describes it.
import http from "node:http";

/** Starts a store. Operators and servers write to it directly with `put` and `remove`. */
export async function startStore(host, port, { ttlScale = 1 } = {}) {
  const items = new Map();
  const log = [];
  const leases = new Map();
  const waiting = new Set();
  let revision = 1;
  let nextLease = 100;
  /** `ok`: serves; `silent`: takes calls and never answers. */
  let mode = "ok";
  const stuck = new Set();

  const b64 = (text) => Buffer.from(text).toString("base64");
  const changed = (event) => {
    log.push(event);
    for (const wake of [...waiting]) wake();
  };
  const put = (key, value, lease = 0) => {
    revision++;
    const before = items.get(key);
    const item = { key, value, revision, created: before?.created ?? revision, lease };
    items.set(key, item);
    changed(item);
    return revision;
  };
  const remove = (key) => {
    if (!items.has(key)) return;
    revision++;
    items.delete(key);
    changed({ key, revision, tombstone: true });
  };
  const expire = (id) => {
    leases.delete(id);
    for (const item of [...items.values()]) if (item.lease === id) remove(item.key);
  };
  const renew = (id) => {
    const lease = leases.get(id);
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => expire(id), lease.ttlMs * ttlScale);
    lease.timer.unref();
  };
  const send = (res, status, body) => {
    if (res.destroyed) return;
    const text = body === undefined ? "" : JSON.stringify(body);
    res.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
    res.end(text);
  };
  const readBody = async (req) => {
    let text = "";
    for await (const chunk of req) text += chunk;
    return text === "" ? {} : JSON.parse(text);
  };

  const server = http.createServer(async (req, res) => {
    if (mode === "silent") {
      stuck.add(res);
      return;
    }
    const url = new URL(req.url, "http://store");
    const query = url.searchParams;
    const path = url.pathname;
    const body = await readBody(req).catch(() => ({}));
    if (path === "/havenspur/kv-key") {
      const item = items.get(query.get("key"));
      return item ? send(res, 200, { ...item, atRevision: revision }) : send(res, 404, { atRevision: revision });
    }
    if (path === "/havenspur/kv-range") {
      const prefix = query.get("prefix") ?? "";
      const after = query.get("after") ?? "";
      const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((a, b) => a.key < b.key ? -1 : 1);
      return send(res, 200, { items: found.slice(0, 500), hasMore: found.length > 500, atRevision: revision });
    }
    if (path === "/havenspur/kv-watch") {
      const prefix = query.get("prefix") ?? "";
      const after = Number(query.get("after"));
      const waitMs = Math.min(30_000, Number(query.get("waitMs") ?? 0));
      const find = () => log.filter((event) => event.revision > after && event.key.startsWith(prefix));
      const answer = () => {
        waiting.delete(check);
        clearTimeout(timer);
        if (mode === "silent") stuck.add(res);
        else send(res, 200, { events: find(), atRevision: revision });
      };
      const check = () => find().length > 0 && answer();
      const timer = setTimeout(answer, waitMs);
      waiting.add(check);
      res.on("close", () => (waiting.delete(check), clearTimeout(timer)));
      check();
      return;
    }
    if (path === "/havenspur/kv-txn") {
      const { precondition = [], puts = [], remove: removed = [] } = body;
      const current = precondition.map(({ key }) => items.get(key) ?? { key, revision: 0 });
      if (precondition.some(({ key, revision: r }) => (items.get(key)?.revision ?? 0) !== r)) {
        return send(res, 412, { items: current });
      }
      if (puts.some(({ lease }) => lease && !leases.has(lease))) return send(res, 404);
      puts.forEach(({ key, value, lease }) => put(key, value, lease ?? 0));
      removed.forEach(remove);
      return send(res, 200, { revision });
    }
    if (path === "/havenspur/kv-lease") {
      const id = nextLease++;
      leases.set(id, { ttlMs: body.ttlMs, timer: undefined });
      renew(id);
      return send(res, 200, { lease: id, ttlMs: body.ttlMs });
    }
    const [, verb, id] = /^\/havenspur\/(kv-keep|kv-lease-end)\/(\d+)$/.exec(path) ?? [];
    if (verb !== undefined && !leases.has(Number(id))) return send(res, 404);
    if (verb === "kv-keep") {
      renew(Number(id));
      return send(res, 200, { ttlMs: leases.get(Number(id)).ttlMs });
    }
    if (verb === "kv-lease-end") {
      clearTimeout(leases.get(Number(id)).timer);
      expire(Number(id));
      return send(res, 200, {});
    }
    send(res, 404);
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve, reject) => server.once("error", reject).listen(port, host, resolve));
  return {
    address: `${host}:${port}`,
    put: (key, value) => put(key, b64(JSON.stringify(value))),
    remove,
    /** Silent: calls get no answer, and the operator and the servers cannot write. */
    setMode: (next) => {
      mode = next;
      if (next !== "ok") return;
      for (const res of stuck) res.destroy();
      stuck.clear();
    },
    close: () => (server.closeAllConnections(), server.close()),
  };
}
