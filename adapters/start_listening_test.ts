import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { createServer } from "node:net";
import { describe, it } from "node:test";
import { createSilentLogger } from "../logs/mod.ts";
import { createRecordingLogger } from "../tests/recording_logger.ts";
import { bindSocket, startListening } from "./start_listening.ts";

const ADDRESS = { host: "127.0.0.1", port: 0 };

describe("startListening()", () => {
  it("rejects if the port is taken", async () => {
    const logger = createSilentLogger();
    const [first, second] = [createServer(), createServer()];
    const port = await startListening(first, ADDRESS, logger);
    await assert.rejects(startListening(second, { ...ADDRESS, port }, logger));
    first.close();
  });

  // An error event that nobody takes ends the process.
  it("logs errors that come later, each of them", async () => {
    const { lines, logger } = createRecordingLogger();
    const server = createServer();
    await startListening(server, ADDRESS, logger);
    server.emit("error", new Error("accept EMFILE"));
    server.emit("error", new Error("accept ENFILE"));
    server.close();
    assert.equal(lines.length, 2);
    assert.match(lines.join(), /EMFILE.*ENFILE/);
  });
});

describe("bindSocket()", () => {
  it("logs errors that come later, each of them", async () => {
    const { lines, logger } = createRecordingLogger();
    const socket = createSocket("udp4");
    await bindSocket(socket, ADDRESS, logger);
    socket.emit("error", new Error("recvmsg ENOMEM"));
    socket.emit("error", new Error("recvmsg ENOBUFS"));
    socket.close();
    assert.equal(lines.length, 2);
  });
});
