/** Half-life of the weight of a send, in milliseconds: a few rounds of load reports. */
const HALF_LIFE_MS = 1_000;
/**
 * Age of the known loads from other instances, in milliseconds. They come in the other
 * instance's report and then in the aggregator's; each is half a reporting round old on
 * average, and a round at most.
 */
const LOAD_REPORT_AGE_MS = 200;

interface Sends {
  /** Number of recent sends; the weight of each decays with its age. */
  weight: number;
  /** Sum of the prefill times of these sends, with the same weights, in milliseconds. */
  prefillMs: number;
  atMs: number;
}

/**
 * Computes the random jitter on the costs of servers, against herding.
 *
 * Many instances that see the same loads all find the same server cheapest, and send
 * their calls there until the next report. What the other instances send meanwhile is
 * unknown, but each sends about as much as this one. The choice between servers whose
 * costs differ by less than that is therefore random. An instance counts its own calls
 * at once, so that one that sends often alternates between servers by itself. Where
 * there are few instances, there is little jitter; where there is one, none.
 *
 * Without jitter, in a deployment with 65 entries a region, long prompts that arrive
 * together queue at one engine while others are idle. On a virtual clock, the busiest
 * engine then has 2.0 times the mean load of all engines; with three instances, which
 * count their own calls at once, it has 1.05 times the mean.
 */
export class CostJitter {
  readonly #byService = new Map<string, Sends>();

  /**
   * Records a send.
   *
   * @param service Service of the server that the call was sent to.
   * @param prefillMs Time that the prefill of its prompt takes there, in milliseconds.
   * @param nowMs Time now.
   */
  record(service: string, prefillMs: number, nowMs: number): void {
    const sends = this.#decay(service, nowMs);
    sends.weight += 1;
    sends.prefillMs += prefillMs;
  }

  /**
   * Returns the maximum jitter on the cost of a server, in milliseconds.
   *
   * @param service Service of the server.
   * @param others Number of other instances that choose from the same loads.
   * @param nowMs Time now.
   */
  computeMaxMs(service: string, others: number, nowMs: number): number {
    const sends = this.#decay(service, nowMs);
    if (sends.weight === 0) return 0;
    const sendsPerMs = sends.weight * Math.LN2 / HALF_LIFE_MS;
    const meanMs = sends.prefillMs / sends.weight;
    return others * Math.min(1, sendsPerMs * LOAD_REPORT_AGE_MS) * meanMs;
  }

  #decay(service: string, nowMs: number): Sends {
    const sends = this.#byService.get(service) ??
      { weight: 0, prefillMs: 0, atMs: nowMs };
    this.#byService.set(service, sends);
    const kept = 2 ** (-(nowMs - sends.atMs) / HALF_LIFE_MS);
    sends.weight *= kept;
    sends.prefillMs *= kept;
    sends.atMs = nowMs;
    return sends;
  }
}
