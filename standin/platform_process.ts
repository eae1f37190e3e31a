import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { constants, tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import type {
  ServerLinksReply,
  ServerLinksRequest,
  ServerLinksState,
} from "./server_links.ts";

/** Ports of an instance. They are free on each loopback address that only this process uses. */
export const PLATFORM_PORTS = {
  callers: 8_144,
  readiness: 8_140,
  directory: 8_143,
  control: 8_146,
  peers: 7_660,
} as const;

/** Interval at which the signals that a starting process handles are read, in milliseconds. */
const SIGNAL_POLL_MS = 2;

/** Module that cuts the links of a program to servers. */
const LINK_CUTTER = new URL("cut_server_links.js", import.meta.url).href;

/** Timeout of a request to an instance, in milliseconds. */
const REQUEST_TIMEOUT_MS = 1_000;

/** Constructor arguments of {@linkcode PlatformProcess}. */
export interface PlatformProcessParts {
  /** Path of the built program. */
  readonly program: string;
  /** Options of Node itself. Default: none. */
  readonly nodeOptions?: readonly string[];
  readonly name: string;
  /** Loopback address that only this instance uses. */
  readonly host: string;
  readonly region: string;
  /** All regions; each has one failure domain, named after it with `-a`. */
  readonly regions: readonly string[];
  /** Loopback addresses of the instances that this one contacts first. */
  readonly seedHosts: readonly string[];
  /** IP address and port of the store. */
  readonly storeAddress: string;
  /** Time from SIGTERM to SIGKILL, in seconds. */
  readonly graceS: number;
  /** Lines of the settings file beyond those that each deployment has. Default: none. */
  readonly extraSettings?: readonly string[];
  /** File to which the standard output of all starts is appended. Default: it is discarded. */
  readonly logPath?: string | undefined;
  /** Whether the links of the program to servers can be cut. Default: no. */
  readonly hasCuttableLinks?: boolean;
  /** Called when the program ends and was not stopped, with how it ended. Default: ignored. */
  readonly onUnexpectedEnd?: (end: ProgramEnd) => void;
}

/** How a run of the program ended. */
export interface ProgramEnd {
  /** Exit code; `null` if a signal ended the program. */
  readonly code: number | null;
  /** Signal that ended the program; `null` if it exited. */
  readonly signal: NodeJS.Signals | null;
  /** Time from its start to its end, in milliseconds. */
  readonly ranMs: number;
}

/** An instance that runs the platform's program in a separate process, with its own settings file. */
export class PlatformProcess {
  readonly #parts: PlatformProcessParts;
  readonly #folder = mkdtempSync(join(tmpdir(), "instance-"));
  #child: ChildProcess | undefined;
  #starts = 0;
  /** Signals sent to the running program that may end it. */
  #sentSignals: NodeJS.Signals[] = [];

  /** @param parts Program, address and settings. */
  constructor(parts: PlatformProcessParts) {
    this.#parts = parts;
    this.writeSettings();
  }

  /**
   * Writes the settings file with another grace period; the running program is not told.
   *
   * @param graceS Time from SIGTERM to SIGKILL, in seconds. Default: as at the start.
   */
  writeSettings(graceS = this.#parts.graceS): void {
    writeFileSync(
      this.#settingsPath,
      formatSettings({ ...this.#parts, graceS }),
    );
  }

  /** Loopback address of the instance. */
  get host(): string {
    return this.#parts.host;
  }

  /** Name of the instance. */
  get name(): string {
    return this.#parts.name;
  }

  /** Number of times that the program was started. */
  get starts(): number {
    return this.#starts;
  }

  /** Id of the running process; `undefined`: it is not running. */
  get pid(): number | undefined {
    const child = this.#child;
    const hasEnded = child === undefined || child.exitCode !== null ||
      child.signalCode !== null;
    return hasEnded ? undefined : child.pid;
  }

  /** Returns whether the instance reports that it accepts calls. */
  async isReady(): Promise<boolean> {
    return await this.readReadiness() === 200;
  }

  /** Returns the HTTP status of the readiness check; 0: no answer. */
  async readReadiness(): Promise<number> {
    const answer = await this.#get("readiness", "/havenspur/readiness");
    return answer?.status ?? 0;
  }

  /**
   * Returns the addresses of instances from the directory, or `undefined` if the
   * directory does not answer or does not know any.
   *
   * @param callHost Host that the caller wants to call.
   * @param region Region of the caller. Default: the region of the instance.
   */
  async listEntries(
    callHost: string,
    region = this.#parts.region,
  ): Promise<readonly string[] | undefined> {
    const answer = await this.#get(
      "directory",
      `/havenspur/resolve?name=${callHost}&region=${region}&zone=${region}-a`,
    );
    if (answer?.status !== 200) return undefined;
    return (JSON.parse(answer.text) as { readonly addresses: string[] })
      .addresses;
  }

  /** Starts the program; its standard error is shown. */
  start(): void {
    const { hasCuttableLinks = false, logPath, nodeOptions = [], program } =
      this.#parts;
    const log = logPath === undefined ? undefined : openSync(logPath, "a");
    const preload = hasCuttableLinks ? ["--import", LINK_CUTTER] : [];
    const child = spawn(
      process.execPath,
      [...nodeOptions, ...preload, program],
      {
        env: { PATH: process.env.PATH, HAVENSPUR_SETTINGS: this.#settingsPath },
        stdio: [
          "ignore",
          log ?? "ignore",
          "inherit",
          hasCuttableLinks ? "ipc" : "ignore",
        ],
      },
    );
    if (log !== undefined) closeSync(log);
    this.#child = child;
    this.#starts++;
    this.#sentSignals = [];
    const sentSignals = this.#sentSignals;
    const startMs = performance.now();
    const { pid } = child;
    if (pid === undefined) return;
    recordStart(pid);
    child.once("exit", (code, signal) => {
      recordEnd(pid);
      if (isExpectedEnd(code, signal, sentSignals)) return;
      const ranMs = Math.round(performance.now() - startMs);
      this.#parts.onUnexpectedEnd?.({ code, signal, ranMs });
    });
  }

  /**
   * Sets the state of the links to servers, for connections that the program opens from now
   * on.
   *
   * @returns Local ports of the open connections to servers; none if the program is not running.
   */
  async setServerLinks(state: ServerLinksState): Promise<readonly number[]> {
    const child = this.#child;
    if (this.pid === undefined || child === undefined) return [];
    const request: ServerLinksRequest = {
      state,
      storePort: Number(this.#parts.storeAddress.split(":")[1]),
    };
    const ended = new AbortController();
    const end = () => ended.abort("ended");
    child.once("exit", end);
    try {
      child.send(request);
      const [reply] = await once(child, "message", { signal: ended.signal });
      return (reply as ServerLinksReply).ports;
    } catch {
      // The program has ended, and its connections with it.
      return [];
    } finally {
      child.off("exit", end);
    }
  }

  /** Sends a signal to the process if it is running. */
  signal(name: NodeJS.Signals): void {
    if (this.pid === undefined) return;
    this.#sentSignals.push(name);
    this.#child?.kill(name);
  }

  /**
   * Sends SIGHUP to the process if it is running. Until the program has taken over its
   * signals, that ends the process, as on the platform, whatever the program is; the end is
   * an expected one then.
   *
   * @returns Whether the process goes on.
   */
  async reload(): Promise<boolean> {
    const { pid } = this;
    if (pid === undefined) return false;
    const isEarly = !hasTakenOver(pid, "SIGHUP");
    if (isEarly) this.#sentSignals.push("SIGHUP");
    this.#child?.kill("SIGHUP");
    while (isEarly && this.pid === pid && !hasTakenOver(pid, "SIGHUP")) {
      await new Promise((resolve) => setTimeout(resolve, SIGNAL_POLL_MS));
    }
    return this.pid === pid;
  }

  /**
   * Waits until the process has exited.
   *
   * @returns Exit code, or `null` if a signal ended the process.
   */
  async awaitExit(): Promise<number | null> {
    if (this.pid === undefined) return this.#child?.exitCode ?? null;
    const [code] = await once(this.#child!, "exit");
    return code as number | null;
  }

  /** Kills the process and removes its settings file. */
  destroy(): void {
    this.signal("SIGKILL");
    rmSync(this.#folder, { recursive: true, force: true });
  }

  async #get(
    port: keyof typeof PLATFORM_PORTS,
    path: string,
  ): Promise<{ readonly status: number; readonly text: string } | undefined> {
    try {
      const { body, statusCode } = await request(
        `http://${this.host}:${PLATFORM_PORTS[port]}${path}`,
        { signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) },
      );
      return { status: statusCode, text: await body.text() };
    } catch {
      // The instance is not listening yet, has stopped listening, or is stalled.
      return undefined;
    }
  }

  get #settingsPath(): string {
    return join(this.#folder, "node.conf");
  }
}

/** Returns the settings file of an instance. */
export function formatSettings(
  parts: Omit<
    PlatformProcessParts,
    "program" | "onUnexpectedEnd" | "hasCuttableLinks"
  >,
): string {
  const { callers, control, directory, peers, readiness } = PLATFORM_PORTS;
  const { host, region } = parts;
  return [
    `nodeName=${parts.name}`,
    `ipAddress=${host}`,
    `zone=${region}-a`,
    `region=${region}`,
    ...parts.regions.map((each) => `zones.${each}-a=${each}`),
    `listen.front=${host}:${callers}`,
    `listen.ready=${host}:${readiness}`,
    `listen.directory=${host}:${directory}`,
    `listen.control=${host}:${control}`,
    `internalPorts=${peers},${peers}`,
    `seeds=${parts.seedHosts.map((seed) => `${seed}:${control}`).join(",")}`,
    `bounds.graceS=${parts.graceS}`,
    `platform.address=${parts.storeAddress}`,
    ...parts.extraSettings ?? [],
  ].join("\n");
}

/** Returns whether the signals that were sent to the program explain its end. */
function isExpectedEnd(
  code: number | null,
  signal: NodeJS.Signals | null,
  sentSignals: readonly NodeJS.Signals[],
): boolean {
  if (signal !== null) return sentSignals.includes(signal);
  return code === 0 && sentSignals.includes("SIGTERM");
}

/** Returns whether a process handles a signal itself, by the mask that Linux shows. */
function hasTakenOver(pid: number, signal: NodeJS.Signals): boolean {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const mask = BigInt(`0x${/SigCgt:\s+(\S+)/.exec(status)?.[1] ?? "0"}`);
    return (mask >> BigInt(constants.signals[signal] - 1) & 1n) === 1n;
  } catch {
    // The process has ended.
    return false;
  }
}

const running = new Set<number>();
let guardProcess: ChildProcess | undefined;

/**
 * Reports a process to the guard process. If this process is killed, only the guard
 * process can end the processes that this one started.
 */
function recordStart(pid: number): void {
  running.add(pid);
  if (guardProcess === undefined) {
    const path = fileURLToPath(new URL("end_orphans.js", import.meta.url));
    guardProcess = spawn(process.execPath, [path], {
      stdio: ["pipe", "ignore", "inherit"],
      detached: true,
    });
    guardProcess.unref();
    // Neither the guard process nor the pipe to it may keep this process running.
    (guardProcess.stdin as unknown as { unref(): void }).unref();
    guardProcess.stdin?.on("error", () => {});
  }
  guardProcess.stdin?.write(`started ${pid}\n`);
}

function recordEnd(pid: number): void {
  running.delete(pid);
  guardProcess?.stdin?.write(`ended ${pid}\n`);
}
