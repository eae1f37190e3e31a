/** Time in which older sends lose half of their weight, in milliseconds: a few rounds of reports. */
const HALF_LIFE_MS = 1_000;
/**
 * Age of what is known of other instances' calls, in milliseconds: their report and
 * the aggregator's, each half a round old on average and a round at most.
 */
const PICTURE_AGE_MS = 200;

interface Sends {
  /** Sends of late, older ones counting less. */
  weight: number;
  /** Time that servers need for them before their first bytes, in milliseconds, weighted alike. */
  readingMs: number;
  atMs: number;
}

/**
 * How far the costs of servers are blurred at random before they are compared.
 *
 * Many instances that see the same picture all find the same server best, and send
 * it what comes until the next report. What the others send meanwhile is not known,
 * but each sends about what this one does; a choice between servers that differ by
 * less than that is left to chance. An instance that sends often sees its own calls
 * at once and takes turns by itself: where there are few instances nothing is blurred.
 */
export class CrowdSpread {
  readonly #byService = new Map<string, Sends>();

  /**
   * Records a send.
   *
   * @param service Whose server got it.
   * @param readingMs Time that its prompt takes there.
   * @param nowMs Time now.
   */
  record(service: string, readingMs: number, nowMs: number): void {
    const sends = this.#decay(service, nowMs);
    sends.weight += 1;
    sends.readingMs += readingMs;
  }

  /**
   * Returns by how much the cost of a server may be blurred, in milliseconds.
   *
   * @param service Its service.
   * @param others Instances that choose from the same picture.
   * @param nowMs Time now.
   */
  readMs(service: string, others: number, nowMs: number): number {
    const sends = this.#decay(service, nowMs);
    if (sends.weight === 0) return 0;
    const perMs = sends.weight * Math.LN2 / HALF_LIFE_MS;
    const meanMs = sends.readingMs / sends.weight;
    return others * Math.min(1, perMs * PICTURE_AGE_MS) * meanMs;
  }

  #decay(service: string, nowMs: number): Sends {
    const sends = this.#byService.get(service) ??
      { weight: 0, readingMs: 0, atMs: nowMs };
    this.#byService.set(service, sends);
    const kept = 2 ** (-(nowMs - sends.atMs) / HALF_LIFE_MS);
    sends.weight *= kept;
    sends.readingMs *= kept;
    sends.atMs = nowMs;
    return sends;
  }
}
