import assert from "node:assert/strict";
import { type ChildProcess, execFileSync, spawn } from "node:child_process";
import { once } from "node:events";
import {
  closeSync,
  constants,
  mkdtempSync,
  openSync,
  rmSync,
  unlinkSync,
  writeFileSync,
  writeSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { after, afterEach, describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { systemClock } from "../adapters/system_clock.ts";
import { waitFor } from "../clock/mod.ts";
import { buildProgram } from "../standin/build_program.ts";
import {
  createDaemonSettings,
  createPlatformSettings,
} from "./program_settings_fixture.ts";

const PLATFORM_PROGRAM = buildProgram();
const DAEMON_PROGRAM = fileURLToPath(
  new URL("../bin/havenspurd.js", import.meta.url),
);
const FOLDER = mkdtempSync(join(tmpdir(), "signals-"));
after(() => {
  rmSync(FOLDER, { recursive: true, force: true });
  rmSync(dirname(PLATFORM_PROGRAM), { recursive: true, force: true });
});

const PROGRAMS: readonly {
  readonly name: string;
  readonly settings: string;
  readonly changedSettings: string;
  /** Log line of a started program. */
  readonly started: string;
  /** Log line of a reload that finds the changed settings; `undefined`: it reloads other files. */
  readonly reloaded?: string;
  readonly start: (path: string) => ChildProcess;
}[] = [
  {
    name: "the platform's program",
    settings: createPlatformSettings(8),
    changedSettings: createPlatformSettings(7),
    started: '"message":"started"',
    reloaded: '"message":"settings reloaded","cause":"signal"',
    start: (path) =>
      spawn(process.execPath, [PLATFORM_PROGRAM], {
        env: { PATH: process.env.PATH, HAVENSPUR_SETTINGS: path },
        stdio: ["ignore", "pipe", "inherit"],
      }),
  },
  {
    name: "havenspurd",
    settings: createDaemonSettings(),
    changedSettings: createDaemonSettings(),
    started: '"message":"listening"',
    start: (path) =>
      spawn(process.execPath, [DAEMON_PROGRAM, "--settings", path], {
        stdio: ["ignore", "pipe", "inherit"],
      }),
  },
];

const children: ChildProcess[] = [];
afterEach(() => children.splice(0).forEach((child) => child.kill("SIGKILL")));

/** Starts a program whose settings file is a pipe, and resolves once it reads the settings. */
async function startReadingSettings(
  { changedSettings, settings, start }: typeof PROGRAMS[number],
) {
  const path = join(mkdtempSync(join(FOLDER, "program-")), "settings");
  execFileSync("mkfifo", [path]);
  const child = start(path);
  children.push(child);
  let output = "";
  child.stdout!.on("data", (chunk) => (output += chunk));
  const pipe = await openForWriting(path);
  return {
    child,
    awaitLine: async (line: string) => {
      while (!output.includes(line)) {
        assert.equal(child.signalCode ?? child.exitCode, null, output);
        await waitFor(systemClock, 10);
      }
    },
    /** Lets the program go on, with changed settings in the file. */
    release: () => {
      unlinkSync(path);
      writeFileSync(path, changedSettings);
      writeSync(pipe, settings);
      closeSync(pipe);
    },
  };
}

/** Opens a pipe for writing as soon as another process has opened it for reading. */
async function openForWriting(path: string): Promise<number> {
  while (true) {
    try {
      return openSync(path, constants.O_WRONLY | constants.O_NONBLOCK);
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== "ENXIO") throw error;
      await waitFor(systemClock, 2);
    }
  }
}

for (const program of PROGRAMS) {
  describe(`${program.name}, when a signal arrives while it reads its settings`, () => {
    it("starts after SIGHUP, and reloads what has changed since", async () => {
      const { awaitLine, child, release } = await startReadingSettings(program);
      child.kill("SIGHUP");
      release();
      await awaitLine(program.started);
      if (program.reloaded !== undefined) await awaitLine(program.reloaded);
    });

    for (const signal of ["SIGTERM", "SIGINT"] as const) {
      it(`exits with 0 after ${signal}, without a start`, async () => {
        const { child, release } = await startReadingSettings(program);
        child.kill(signal);
        release();
        assert.deepEqual(await once(child, "exit"), [0, null]);
      });
    }

    it("exits with 0 after SIGHUP, SIGTERM and SIGHUP", async () => {
      const { child, release } = await startReadingSettings(program);
      (["SIGHUP", "SIGTERM", "SIGHUP"] as const).forEach((signal) =>
        child.kill(signal)
      );
      release();
      assert.deepEqual(await once(child, "exit"), [0, null]);
    });
  });

  describe(`${program.name}, when a signal arrives right after its start`, () => {
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
      it(`exits with 0 after ${signal}`, async () => {
        const { awaitLine, child, release } = await startReadingSettings(
          program,
        );
        release();
        await awaitLine(program.started);
        child.kill("SIGHUP");
        child.kill(signal);
        assert.deepEqual(await once(child, "exit"), [0, null]);
      });
    }
  });
}
