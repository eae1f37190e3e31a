import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";

/** Ports of an instance, free on every address that only this process uses. */
export const PLATFORM_PORTS = {
  callers: 8_144,
  readiness: 8_140,
  directory: 8_143,
  control: 8_146,
  peers: 7_660,
} as const;

/** How long an instance may take to say how it is, in milliseconds. */
const ASK_TIMEOUT_MS = 1_000;

/** What a process of the platform's program is started with. */
export interface PlatformProcessParts {
  /** Path of the built program. */
  readonly program: string;
  readonly name: string;
  /** Loopback address of its own. */
  readonly host: string;
  readonly region: string;
  /** All regions; each has one failure domain, named after it with `-a`. */
  readonly regions: readonly string[];
  readonly seedHosts: readonly string[];
  /** IP address and port. */
  readonly storeAddress: string;
  /** Time from SIGTERM to SIGKILL, in seconds. */
  readonly graceS: number;
}

/** One instance as a process of its own, with its settings file. */
export class PlatformProcess {
  readonly #parts: PlatformProcessParts;
  readonly #folder = mkdtempSync(join(tmpdir(), "instance-"));
  #child: ChildProcess | undefined;
  #starts = 0;

  /** @param parts Program, address and what the settings say. */
  constructor(parts: PlatformProcessParts) {
    this.#parts = parts;
    writeFileSync(this.#settingsPath, formatSettings(parts));
  }

  get host(): string {
    return this.#parts.host;
  }

  get name(): string {
    return this.#parts.name;
  }

  /** How often it was started. */
  get starts(): number {
    return this.#starts;
  }

  /** Id of the running process, or `undefined`. */
  get pid(): number | undefined {
    const child = this.#child;
    const hasEnded = child === undefined || child.exitCode !== null ||
      child.signalCode !== null;
    return hasEnded ? undefined : child.pid;
  }

  /** Whether it says that it takes calls. */
  async isReady(): Promise<boolean> {
    return await this.readReadiness() === 200;
  }

  /** Returns the status of its readiness check; 0: no answer. */
  async readReadiness(): Promise<number> {
    const answer = await this.#get("readiness", "/havenspur/readiness");
    return answer?.status ?? 0;
  }

  /**
   * Returns the addresses of instances that its directory names, or `undefined`
   * where it does not answer or names none.
   *
   * @param callHost Host that the caller wants to call.
   * @param region Where the caller is. Default: where the instance is.
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

  /** Starts the program; its log is thrown away, its errors are shown. */
  start(): void {
    const child = spawn(process.execPath, [this.#parts.program], {
      env: { PATH: process.env.PATH, HAVENSPUR_SETTINGS: this.#settingsPath },
      stdio: ["ignore", "ignore", "inherit"],
    });
    this.#child = child;
    this.#starts++;
    const { pid } = child;
    if (pid === undefined) return;
    noteStarted(pid);
    child.once("exit", () => noteEnded(pid));
  }

  /** Sends a signal, if it runs. */
  signal(name: NodeJS.Signals): void {
    if (this.pid !== undefined) this.#child?.kill(name);
  }

  /**
   * Resolves when the process has ended.
   *
   * @returns Its exit code, or `null` if a signal ended it.
   */
  async awaitEnd(): Promise<number | null> {
    if (this.pid === undefined) return this.#child?.exitCode ?? null;
    const [code] = await once(this.#child!, "exit");
    return code as number | null;
  }

  /** Kills the process and removes its files. */
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
        { signal: AbortSignal.timeout(ASK_TIMEOUT_MS) },
      );
      return { status: statusCode, text: await body.text() };
    } catch {
      // Not listening yet, not any more, or standing still.
      return undefined;
    }
  }

  get #settingsPath(): string {
    return join(this.#folder, "node.conf");
  }
}

function formatSettings(parts: PlatformProcessParts): string {
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
  ].join("\n");
}

const running = new Set<number>();
let guard: ChildProcess | undefined;

/**
 * Tells a guard process which ids to end should this process be killed: nobody
 * else would end them.
 */
function noteStarted(pid: number): void {
  running.add(pid);
  if (guard === undefined) {
    const path = fileURLToPath(new URL("end_orphans.js", import.meta.url));
    guard = spawn(process.execPath, [path], {
      stdio: ["pipe", "ignore", "inherit"],
      detached: true,
    });
    guard.unref();
    // Neither it nor its pipe keeps this process alive.
    (guard.stdin as unknown as { unref(): void }).unref();
    guard.stdin?.on("error", () => {});
  }
  guard.stdin?.write(`started ${pid}\n`);
}

function noteEnded(pid: number): void {
  running.delete(pid);
  guard?.stdin?.write(`ended ${pid}\n`);
}
