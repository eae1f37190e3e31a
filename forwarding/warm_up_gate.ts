import type { BackendId } from "../ids/mod.ts";

/** Part of the bound that is used: sends of several instances arrive bunched. */
const USED_PART = 0.8;

interface Bucket {
  nextMs: number;
}

/**
 * Lets calls through to cold servers at the own share of the rate that they
 * bear. Each instance spaces its calls evenly, so that no second holds more
 * than the sum of the shares and one call an instance.
 */
export class WarmUpGate {
  readonly #buckets = new Map<BackendId, Bucket>();

  /** Whether a call may go to a cold server now. */
  isOpen(server: BackendId, nowMs: number): boolean {
    return nowMs >= (this.#buckets.get(server)?.nextMs ?? 0);
  }

  /**
   * Records a call to a cold server.
   *
   * @param server Where.
   * @param share Calls a second that it bears, and the instances that share them.
   * @param nowMs Time now.
   */
  record(
    server: BackendId,
    share: { readonly callsPerSecond: number; readonly instances: number },
    nowMs: number,
  ): void {
    const { callsPerSecond, instances } = share;
    const pauseMs = 1_000 * instances / (USED_PART * callsPerSecond);
    this.#buckets.set(server, { nextMs: nowMs + pauseMs });
  }

  /** Forgets servers that are gone. */
  keepOnly(servers: ReadonlySet<BackendId>): void {
    [...this.#buckets.keys()].filter((id) => !servers.has(id))
      .forEach((id) => this.#buckets.delete(id));
  }
}
