import type { BackendId } from "../ids/mod.ts";
import type { ReportedPrefix } from "./fleet_report.ts";

/**
 * Queue of prompt parts to report. Each shared part is queued once, and the newest are
 * taken first. Parts that no other call begins with are reported as one sum per server,
 * since they only tell how much of the server's cache they have displaced.
 */
export class PrefixQueue {
  readonly #capacity: number;
  readonly #shared = new Map<string, ReportedPrefix>();
  readonly #unsharedTokens = new Map<BackendId, number>();

  /** @param capacity Maximum number of queued shared parts; the oldest are dropped. */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Adds parts, in the order in which they were sent to servers. */
  add(prefixes: readonly ReportedPrefix[]): void {
    prefixes.forEach((prefix) => {
      if (prefix.part === undefined) this.#addUnshared(prefix);
      else this.#addShared(prefix);
    });
  }

  /**
   * Removes parts from the queue and returns them for a report.
   *
   * @param count Maximum number of shared parts.
   */
  take(count: number): readonly ReportedPrefix[] {
    const keys = [...this.#shared.keys()].slice(-count);
    const shared = keys.flatMap((key) => this.#shared.get(key) ?? []);
    keys.forEach((key) => this.#shared.delete(key));
    const unshared = [...this.#unsharedTokens].map(([server, tokens]) => ({
      server,
      part: undefined,
      tokens,
    }));
    this.#unsharedTokens.clear();
    return [...unshared, ...shared];
  }

  #addUnshared({ server, tokens }: ReportedPrefix): void {
    const previous = this.#unsharedTokens.get(server) ?? 0;
    this.#unsharedTokens.set(server, previous + tokens);
  }

  #addShared(prefix: ReportedPrefix): void {
    const key = `${prefix.server} ${prefix.part}`;
    this.#shared.delete(key);
    this.#shared.set(key, prefix);
    const [oldest] = this.#shared.keys();
    if (this.#shared.size > this.#capacity) this.#shared.delete(oldest!);
  }
}
