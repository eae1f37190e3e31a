import {
  computeRatedCores,
  type InstanceLimits,
  type MemberCapacity,
} from "./instance_capacity.ts";

/**
 * Delay of the event loop from which the instance counts as behind, in milliseconds. It
 * equals the wait at which calls are no longer admitted.
 */
const BEHIND_DELAY_MS = 100;
/** Fraction of the link's bandwidth from which the link counts as behind. */
const BEHIND_LINK_FRACTION = 0.9;
/** Time over which the use of the link is measured, in milliseconds. */
const LINK_WINDOW_MS = 1_000;
/** Consecutive samples with a late event loop that are needed: a single pause proves nothing about the next seconds. */
const BEHIND_SAMPLES = 2;
/**
 * Minimum time between two reductions, in milliseconds. Callers use an answer of the
 * directory for 2 s, so that the effect of a reduction shows only after that time.
 */
const REDUCTION_INTERVAL_MS = 2_500;
/**
 * Time from the first sample for which a late event loop does not count, in milliseconds.
 * A start takes 0.3 to 0.43 s of processor time (docs/design/processor_time.md), which are
 * up to 1.8 s on 0.243 cores, and says nothing about the calls that the instance can carry
 * afterwards. The time is about twice as long.
 */
const START_UP_MS = 4_000;
/** Time without being behind after which the capacity is raised one step, in milliseconds. */
const RECOVERY_INTERVAL_MS = 6_000;
/** Factor of one step. Callers move at each step, so that there are few of them. */
const STEP_FACTOR = 2;
/** Smallest fraction of the rated capacity that is reported. */
const MIN_FRACTION = 0.25;
const BITS_PER_BYTE = 8;
const BYTES_PER_MB = 1_000_000;
const MS_PER_S = 1_000;

/** Measurements of an instance at one moment. */
export interface CapacitySample {
  readonly nowMs: number;
  /** Delay of the event loop, in milliseconds. */
  readonly loopDelayMs: number;
  /** Bytes that the instance has transferred in each direction since its start. */
  readonly linkBytes: number;
}

/**
 * Determines the capacity that an instance reports: the rated one, or a fraction of it
 * while its event loop or its link is behind.
 */
export class CapacityMonitor {
  readonly #limits: InstanceLimits;
  readonly #ratedCores: number | undefined;
  #fraction = 1;
  #lateSamples = 0;
  #firstSampleMs: number | undefined;
  #changedMs = Number.NEGATIVE_INFINITY;
  #behindMs = Number.NEGATIVE_INFINITY;
  #linkWindow: { readonly startMs: number; readonly bytes: number } | undefined;
  #isLinkBehind = false;

  /** @param limits Resources that the instance may use. */
  constructor(limits: InstanceLimits) {
    this.#limits = limits;
    this.#ratedCores = computeRatedCores(limits);
  }

  /** Capacity to report, or `undefined` if the settings name none. */
  get capacity(): MemberCapacity | undefined {
    const ratedCores = this.#ratedCores;
    return ratedCores === undefined
      ? undefined
      : { ratedCores, currentCores: ratedCores * this.#fraction };
  }

  /** Records a sample. Samples are taken several times per second. */
  record(sample: CapacitySample): void {
    const { loopDelayMs, nowMs } = sample;
    this.#firstSampleMs ??= nowMs;
    const isStarting = nowMs - this.#firstSampleMs < START_UP_MS;
    this.#lateSamples = !isStarting && loopDelayMs >= BEHIND_DELAY_MS
      ? this.#lateSamples + 1
      : 0;
    this.#measureLink(sample);
    const isBehind = this.#lateSamples >= BEHIND_SAMPLES || this.#isLinkBehind;
    if (isBehind) this.#behindMs = nowMs;
    const sinceChangeMs = nowMs - this.#changedMs;
    if (
      isBehind && this.#fraction > MIN_FRACTION &&
      sinceChangeMs >= REDUCTION_INTERVAL_MS
    ) {
      this.#fraction /= STEP_FACTOR;
      this.#changedMs = nowMs;
    }
    if (
      this.#fraction < 1 && sinceChangeMs >= RECOVERY_INTERVAL_MS &&
      nowMs - this.#behindMs >= RECOVERY_INTERVAL_MS
    ) {
      this.#fraction *= STEP_FACTOR;
      this.#changedMs = nowMs;
    }
  }

  #measureLink({ linkBytes, nowMs }: CapacitySample): void {
    const { linkMbps } = this.#limits;
    if (linkMbps === undefined) return;
    const window = this.#linkWindow ??= { startMs: nowMs, bytes: linkBytes };
    const elapsedMs = nowMs - window.startMs;
    if (elapsedMs < LINK_WINDOW_MS) return;
    const bytesPerSecond = (linkBytes - window.bytes) * MS_PER_S / elapsedMs;
    this.#isLinkBehind = bytesPerSecond * BITS_PER_BYTE / BYTES_PER_MB >=
      BEHIND_LINK_FRACTION * linkMbps;
    this.#linkWindow = { startMs: nowMs, bytes: linkBytes };
  }
}
