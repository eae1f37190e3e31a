// A client that keeps every byte that it gets, and how its connection ended.
import net from "node:net";

/** Sends one request on a connection of its own; resolves with all bytes and how they ended. */
export function sendRaw({ host, port = 8144, text, limitMs = 10_000, onData = () => {} }) {
  return new Promise((resolve) => {
    const chunks = [];
    const socket = net.connect({ host, port });
    const timer = setTimeout(() => end("time limit"), limitMs);
    let isDone = false;
    const end = (how) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      socket.destroy();
      resolve({ how, ...parseAnswer(Buffer.concat(chunks)) });
    };
    socket.on("connect", () => socket.write(text));
    socket.on("data", (chunk) => {
      chunks.push(chunk);
      onData(chunk, socket);
      const answer = parseAnswer(Buffer.concat(chunks));
      if (answer.isComplete) end("last byte");
    });
    socket.on("end", () => end("closed"));
    socket.on("error", ({ code }) => end(code === "ECONNRESET" ? "reset" : code));
  });
}

/** Parses an answer as HTTP/1.1 tells its end (RFC 9112, section 6.3). */
export function parseAnswer(bytes) {
  const at = bytes.indexOf("\r\n\r\n");
  if (at < 0) return { status: undefined, headers: {}, body: Buffer.alloc(0), framing: "none", isComplete: false };
  const [first, ...rows] = bytes.subarray(0, at).toString("latin1").split("\r\n");
  const status = Number(first.split(" ")[1]);
  const headers = Object.fromEntries(rows.map((row) => {
    const colon = row.indexOf(":");
    return [row.slice(0, colon).toLowerCase(), row.slice(colon + 1).trim()];
  }));
  const rest = bytes.subarray(at + 4);
  if (/chunked$/i.test(headers["transfer-encoding"] ?? "")) {
    const parts = [];
    let from = 0;
    while (true) {
      const lineEnd = rest.indexOf("\r\n", from);
      if (lineEnd < 0) break;
      const size = parseInt(rest.subarray(from, lineEnd).toString("latin1"), 16);
      if (size === 0) return { status, headers, body: Buffer.concat(parts), framing: "chunked", isComplete: true };
      if (rest.length < lineEnd + 2 + size + 2) break;
      parts.push(rest.subarray(lineEnd + 2, lineEnd + 2 + size));
      from = lineEnd + 2 + size + 2;
    }
    return { status, headers, body: Buffer.concat(parts), framing: "chunked", isComplete: false };
  }
  if (headers["content-length"] !== undefined) {
    const length = Number(headers["content-length"]);
    return { status, headers, body: rest.subarray(0, length), framing: "length", isComplete: rest.length >= length };
  }
  return { status, headers, body: rest, framing: "connection", isComplete: false };
}
