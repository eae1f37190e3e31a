import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { after, describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { systemClock } from "../adapters/system_clock.ts";
import { waitFor } from "../clock/mod.ts";
import { buildProgram } from "../standin/build_program.ts";
import {
  createDaemonSettings,
  createPlatformSettings,
} from "./program_settings_fixture.ts";
import { openRawCaller } from "./raw_http.ts";

const PLATFORM_PROGRAM = buildProgram();
const DAEMON_PROGRAM = fileURLToPath(
  new URL("../bin/havenspurd.js", import.meta.url),
);
const FOLDER = mkdtempSync(join(tmpdir(), "log-reader-"));
const children: ChildProcess[] = [];
after(() => {
  children.forEach((child) => child.kill("SIGKILL"));
  rmSync(FOLDER, { recursive: true, force: true });
  rmSync(dirname(PLATFORM_PROGRAM), { recursive: true, force: true });
});

/** Number of log lines that are written after the reader of the log has gone. */
const LINES = 5;
/** Time within which a line is written, in milliseconds. */
const WRITE_TIME_MS = 250;

/** Starts a program, waits for a log line, and closes the pipe that it writes its log to. */
async function startUnread(
  args: readonly string[],
  env: NodeJS.ProcessEnv,
  line: RegExp,
): Promise<{ readonly child: ChildProcess; readonly found: RegExpExecArray }> {
  const child = spawn(process.execPath, args, {
    env: { PATH: process.env.PATH, ...env },
    stdio: ["ignore", "pipe", "inherit"],
  });
  children.push(child);
  let output = "";
  let found: RegExpExecArray | null = null;
  while (found === null) {
    const [chunk] = await once(child.stdout!, "data");
    output += chunk;
    found = line.exec(output);
  }
  child.stdout!.destroy();
  return { child, found };
}

// A write to a closed pipe is an error event, which ends a process if nobody takes it.
describe("a program whose log nobody reads any more", () => {
  it("keeps running as the platform's program", async () => {
    const path = join(FOLDER, "node.conf");
    writeFileSync(path, createPlatformSettings(8));
    const env = { HAVENSPUR_SETTINGS: path };
    const { child } = await startUnread([PLATFORM_PROGRAM], env, /"started"/);
    for (let count = 0; count < LINES; count++) {
      child.kill("SIGHUP");
      await waitFor(systemClock, WRITE_TIME_MS);
    }
    assert.equal(child.signalCode ?? child.exitCode, null);
  });

  it("keeps running as havenspurd", async () => {
    const path = join(FOLDER, "daemon.toml");
    writeFileSync(path, createDaemonSettings());
    const args = [DAEMON_PROGRAM, "--settings", path];
    const address = /"address":"http:\/\/([\d.]+):(\d+)"/;
    const { child, found } = await startUnread(args, {}, address);
    const [, host, port] = found;
    for (let count = 0; count < LINES; count++) {
      const caller = await openRawCaller(Number(port), host);
      caller.socket.write("GET /v1/x HTTP/1.1\r\nHost: a\r\n\r\n");
      await caller.awaitText("\r\n\r\n");
      caller.socket.destroy();
      await waitFor(systemClock, WRITE_TIME_MS);
    }
    assert.equal(child.signalCode ?? child.exitCode, null);
  });
});
