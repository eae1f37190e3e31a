// Stand-in of an engine, as PROTOCOL.md describes it: one request at a time on a connection.
import net from "node:net";

/**
 * Starts an engine.
 *
 * @param answer Called for each request that it runs, with the request and the socket.
 */
export async function startEngine({ id, host, port, answer }) {
  const sockets = new Set();
  const arrivals = [];
  let healthChecks = 0;
  let coldUntilMs = 0;
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("close", () => sockets.delete(socket));
    let bytes = Buffer.alloc(0);
    socket.on("data", (chunk) => {
      bytes = Buffer.concat([bytes, chunk]);
      while (true) {
        const at = bytes.indexOf("\r\n\r\n");
        if (at < 0) return;
        const [first, ...rows] = bytes.subarray(0, at).toString("latin1").split("\r\n");
        const [method, path] = first.split(" ");
        const headers = Object.fromEntries(rows.map((row) => {
          const colon = row.indexOf(":");
          return [row.slice(0, colon).toLowerCase(), row.slice(colon + 1).trim()];
        }));
        const length = Number(headers["content-length"] ?? 0);
        if (bytes.length < at + 4 + length) return;
        const body = bytes.subarray(at + 4, at + 4 + length);
        bytes = bytes.subarray(at + 4 + length);
        handle({ method, path, headers, body }, socket);
      }
    });
  });
  const handle = (request, socket) => {
    const { headers, method, path } = request;
    const callId = headers["x-havenspur-attempt-id"];
    if (path.startsWith("/havenspur/")) {
      socket.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    if (path === "/health") {
      healthChecks++;
      const remainingMs = Math.max(0, coldUntilMs - Date.now());
      const warmup = remainingMs > 0 ? `X-Havenspur-Warmup-Remaining: ${remainingMs}\r\n` : "";
      socket.write(`HTTP/1.1 200 OK\r\nX-Havenspur-Instance: ${id}\r\n${warmup}Content-Length: 0\r\n\r\n`);
      return;
    }
    if (headers["x-havenspur-expected-instance"] !== undefined && headers["x-havenspur-expected-instance"] !== id) {
      socket.write(`HTTP/1.1 421 Misdirected Request\r\nX-Havenspur-Instance: ${id}\r\nX-Havenspur-Attempt-Id: ${callId}\r\nX-Havenspur-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
      return;
    }
    arrivals.push({ atMs: Date.now(), callId, method, path });
    answer({ ...request, callId }, socket);
  };
  await new Promise((resolve, reject) => server.once("error", reject).listen(port, host, resolve));
  return {
    id,
    address: `${host}:${port}`,
    arrivals,
    /** Number of status checks so far. */
    get healthChecks() {
      return healthChecks;
    },
    /** Sets until when its status checks say that it is cold. */
    setWarmup: (untilMs) => coldUntilMs = untilMs,
    entry: (service, region, more = {}) => ({
      service, address: `${host}:${port}`, zone: `${region}-a`, version: "v1", slots: 64, state: "ready",
      warmupRemainingMs: 0, stage: "both", models: [], sequence: 1, ...more,
    }),
    close: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}
