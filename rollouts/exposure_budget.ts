import type { Random } from "../clock/mod.ts";
import type { RolloutBounds } from "./rollout_types.ts";

/**
 * Part of the share that the canary uses. The rest pays for the ramp, which comes after a
 * version was judged good and may still hit a fault that shows later.
 */
export const TRIAL_PART = 0.8;
/** Part of the slack that instances use together; the rest covers late reports of an end. */
const SLACK_PART = 0.5;
/**
 * Probability that rounding exceeds the slack, by which the number of instances that round
 * at random is limited.
 */
const MAX_EXCESS_PROBABILITY = 1e-6;

/** What decides an instance's offset. */
export interface OffsetInput {
  readonly bounds: RolloutBounds;
  /** Registered or live instances when the order arrived, whichever is more. */
  readonly instanceCount: number;
  /** Whether this instance ran before the order arrived. */
  readonly ranBefore: boolean;
  readonly random: Random;
}

/**
 * Returns the canary sends that an instance may begin beyond its share.
 *
 * With few instances it is a part of the slack. With many, that part is less than one send,
 * and 300 instances that each round their share down would begin no canary at all. They
 * then draw the offset uniformly from 0 to 1: rounding down share plus offset is right on
 * average, whatever the shares are. By Hoeffding's inequality, the sum over N instances
 * exceeds its mean by the slack S with a probability of at most exp(-2 S^2 / N); with too
 * many instances for that, the offset is 0.
 *
 * An instance that started after the order gets none, so a restart renews nothing.
 */
export function drawOffset(
  { bounds, instanceCount, random, ranBefore }: OffsetInput,
): number {
  if (!ranBefore) return 0;
  const part = SLACK_PART * bounds.exposureSlack / Math.max(1, instanceCount);
  if (part >= 1) return part;
  const exponent = 2 * bounds.exposureSlack ** 2 / instanceCount;
  if (Math.exp(-exponent) > MAX_EXCESS_PROBABILITY) return part;
  return random.nextFloat();
}

/**
 * One instance's bound on canary sends of one order. The sum over all instances holds
 * without any message, since each keeps to the share of its own sends.
 */
export class ExposureBudget {
  readonly #share: number;
  readonly #offset: number;
  #sends = 0;
  #canarySends = 0;

  /**
   * @param bounds Bounds of the deployment.
   * @param offset Canary sends beyond the share, of `drawOffset`.
   */
  constructor(bounds: RolloutBounds, offset: number) {
    this.#share = TRIAL_PART * bounds.exposureShare;
    this.#offset = offset;
  }

  /** Sends to the service since the order, and those to its destination. */
  get counts(): { readonly sends: number; readonly canarySends: number } {
    return { sends: this.#sends, canarySends: this.#canarySends };
  }

  /** Canary sends that keep to the bound now, the next send included; may be a fraction. */
  get available(): number {
    return this.#share * (this.#sends + 1) + this.#offset - this.#canarySends;
  }

  /** Returns whether one more canary send keeps to the bound. */
  canSpend(): boolean {
    return this.available >= 1;
  }

  /** Counts a send that begins. */
  count(isCanary: boolean): void {
    this.#sends++;
    if (isCanary) this.#canarySends++;
  }

  /**
   * Takes back a counted send that did not reach its server. Sends that it has earned the
   * canary meanwhile stay begun: at most the share of the sends whose connections are being
   * opened, which the unused part of the slack covers.
   */
  refund(isCanary: boolean): void {
    this.#sends--;
    if (isCanary) this.#canarySends--;
  }
}
