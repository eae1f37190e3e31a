import type { InstanceId, RegionId } from "../ids/mod.ts";

/** A grant of credits from one instance to an instance of another region. */
export interface CreditGrant {
  readonly service: string;
  /** Number of requests that may be forwarded. */
  readonly count: number;
  /** Validity, counted from when the grant was requested, in milliseconds. */
  readonly lifetimeMs: number;
}

/** How long a grant is valid, in milliseconds. */
export const CREDIT_LIFETIME_MS = 2_000;
/** Fraction of the region's free capacity that may be granted to other regions. */
const GRANTABLE_FRACTION = 0.5;
/** Duration of the ramp, and the fraction of the usual grants at its start. */
const RAMP_MS = 10_000;
const MIN_RAMP_FRACTION = 0.1;

interface OutstandingGrant {
  readonly to: InstanceId;
  remaining: number;
  readonly expiresMs: number;
}

/**
 * Tracks the credits that this instance has granted to instances of other regions.
 * The sum of the outstanding credits never exceeds this instance's share of the
 * region's free capacity.
 */
export class CreditLedger {
  readonly #outstanding = new Map<string, OutstandingGrant[]>();
  #rampStartMs = -RAMP_MS;

  /** Starts a ramp: after an outage or with cold caches, few credits are granted at first. */
  startRamp(nowMs: number): void {
    this.#rampStartMs = nowMs;
  }

  /**
   * Grants at most the requested number of credits.
   *
   * @param request Requesting instance, service and requested number of credits.
   * @param capacity Free sequences of the region, and number of instances that share them.
   * @param nowMs Current time, in milliseconds.
   */
  grant(
    request: {
      readonly to: InstanceId;
      readonly service: string;
      readonly wanted: number;
    },
    capacity: { readonly spare: number; readonly gateways: number },
    nowMs: number,
  ): CreditGrant {
    const ramp = Math.min(
      1,
      Math.max(MIN_RAMP_FRACTION, (nowMs - this.#rampStartMs) / RAMP_MS),
    );
    const share = (Math.max(0, capacity.spare) * GRANTABLE_FRACTION * ramp) /
      Math.max(1, capacity.gateways);
    const grants = this.#listValid(request.service, nowMs);
    const outstandingCount = grants.reduce(
      (sum, { remaining }) => sum + remaining,
      0,
    );
    const count = Math.max(
      0,
      Math.min(request.wanted, Math.floor(share - outstandingCount)),
    );
    if (count > 0) {
      grants.push({
        to: request.to,
        remaining: count,
        expiresMs: nowMs + CREDIT_LIFETIME_MS,
      });
    }
    return { service: request.service, count, lifetimeMs: CREDIT_LIFETIME_MS };
  }

  /**
   * Uses up one credit for a forwarded request.
   *
   * @param from Instance that forwards the request.
   * @param service Requested service.
   * @param nowMs Current time, in milliseconds.
   * @returns Whether the instance had a valid credit.
   */
  admit(from: InstanceId, service: string, nowMs: number): boolean {
    const grant = this.#listValid(service, nowMs).find((
      { to, remaining },
    ) => to === from && remaining > 0);
    if (grant === undefined) return false;
    grant.remaining--;
    return true;
  }

  #listValid(service: string, nowMs: number): OutstandingGrant[] {
    const grants = (this.#outstanding.get(service) ?? [])
      .filter(({ remaining, expiresMs }) => remaining > 0 && expiresMs > nowMs);
    this.#outstanding.set(service, grants);
    return grants;
  }
}

interface ReceivedGrant {
  readonly region: RegionId;
  readonly instance: InstanceId;
  remaining: number;
  readonly expiresMs: number;
}

/** Holds the credits that instances of other regions have granted to this instance. */
export class CreditBalance {
  #grants: ReceivedGrant[] = [];

  /** Records a grant; its lifetime is measured on the clock of this instance. */
  record(
    grant: CreditGrant,
    from: {
      readonly region: RegionId;
      readonly gateway: InstanceId;
      readonly askedMs: number;
    },
  ): void {
    if (grant.count <= 0) return;
    this.#grants.push({
      region: from.region,
      instance: from.gateway,
      remaining: grant.count,
      // Half of the lifetime is reserved for forwarding a request there.
      expiresMs: from.askedMs + grant.lifetimeMs / 2,
    });
  }

  /** Returns the number of unspent, valid credits for a region. */
  count(region: RegionId, nowMs: number): number {
    this.#grants = this.#grants.filter(({ remaining, expiresMs }) =>
      remaining > 0 && expiresMs > nowMs
    );
    return this.#grants.filter((grant) => grant.region === region)
      .reduce((sum, { remaining }) => sum + remaining, 0);
  }

  /** Spends one credit and returns the instance that granted it, if there is a credit. */
  spend(region: RegionId, nowMs: number): InstanceId | undefined {
    if (this.count(region, nowMs) === 0) return undefined;
    const grant = this.#grants.find((candidate) =>
      candidate.region === region
    )!;
    grant.remaining--;
    return grant.instance;
  }
}
