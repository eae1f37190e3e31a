import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { setImmediate, setTimeout } from "node:timers/promises";
import { LinkProxy } from "./link_proxy.ts";

const CLEAN_UPS: (() => void)[] = [];
afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

/** Starts an echo server behind a link. */
async function start() {
  const received: string[] = [];
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      received.push(String(chunk));
      socket.write(chunk);
    });
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const link = new LinkProxy((server.address() as AddressInfo).port);
  const port = Number((await link.open()).split(":")[1]);
  CLEAN_UPS.push(() => link.close(), () => server.close());
  const open = () => {
    const socket = connect(port, "127.0.0.1");
    CLEAN_UPS.push(() => socket.destroy());
    return socket;
  };
  return { received, link, open };
}

async function echo(socket: Socket, text: string): Promise<string> {
  socket.write(text);
  let back = "";
  while (back.length < text.length) {
    const [chunk] = await once(socket, "data");
    back += String(chunk);
  }
  return back;
}

describe("LinkProxy", () => {
  it("forwards data in both directions, complete and in order, also in small chunks", async () => {
    const { link, open } = await start();
    const socket = open();
    const text = "0123456789".repeat(60);
    assert.equal(await echo(socket, text), text);
    link.setMode("trickle");
    assert.equal(await echo(socket, text), text);
    link.setMode("delay");
    assert.equal(await echo(socket, "late"), "late");
  });

  it("forwards requests but no answers in one-way mode, and resets the connections afterwards", async () => {
    const { received, link, open } = await start();
    const socket = open();
    await echo(socket, "before");
    link.setMode("one-way");
    socket.write("asked");
    while (!received.includes("asked")) await setImmediate();
    const failed = once(socket, "error");
    link.setMode("pass");
    await failed;
  });

  it("passes nothing on while connections stand still, and all of it afterwards", async () => {
    const { received, link, open } = await start();
    const first = open();
    await echo(first, "before");
    link.setStill(true);
    const second = open();
    await once(second, "connect");
    const answers = [first, second].map((socket) => echo(socket, "held"));
    await setTimeout(50);
    assert.deepEqual(received, ["before"]);
    link.setStill(false);
    assert.deepEqual(await Promise.all(answers), ["held", "held"]);
  });

  it("resets open and new connections in reset mode", async () => {
    const { link, open } = await start();
    const socket = open();
    await echo(socket, "before");
    const failed = once(socket, "error");
    link.setMode("reset");
    await failed;
    await once(open(), "error");
  });
});
