import type { InstanceId, RegionId } from "../ids/mod.ts";

/** A grant of one gateway to one gateway of another region. */
export interface CreditGrant {
  readonly service: string;
  /** Requests that may be forwarded. */
  readonly count: number;
  /** How long, from when it was asked for, in milliseconds. */
  readonly lifetimeMs: number;
}

/** How long a grant holds. */
export const CREDIT_LIFETIME_MS = 2_000;
const SHARE_OF_ROOM = 0.5;
const RAMP_MS = 10_000;
const RAMP_FLOOR = 0.1;

interface Outstanding {
  readonly to: InstanceId;
  left: number;
  readonly expiresMs: number;
}

/**
 * The granting side: what a gateway has promised to gateways of other regions.
 * The sum of what is out never passes its share of the region's free room.
 */
export class CreditLedger {
  readonly #outstanding = new Map<string, Outstanding[]>();
  #recoveredMs = -RAMP_MS;

  /** Starts a ramp: after an outage or on cold caches little is granted at first. */
  startRamp(nowMs: number): void {
    this.#recoveredMs = nowMs;
  }

  /**
   * Grants up to the number asked for.
   *
   * @param request Who asks for how much of what.
   * @param room Free room of the region, and gateways that share it.
   * @param nowMs Time now.
   */
  grant(
    request: {
      readonly to: InstanceId;
      readonly service: string;
      readonly wanted: number;
    },
    room: { readonly spare: number; readonly gateways: number },
    nowMs: number,
  ): CreditGrant {
    const ramp = Math.min(
      1,
      Math.max(RAMP_FLOOR, (nowMs - this.#recoveredMs) / RAMP_MS),
    );
    const share = (Math.max(0, room.spare) * SHARE_OF_ROOM * ramp) /
      Math.max(1, room.gateways);
    const held = this.#read(request.service, nowMs);
    const out = held.reduce((sum, { left }) => sum + left, 0);
    const count = Math.max(
      0,
      Math.min(request.wanted, Math.floor(share - out)),
    );
    if (count > 0) {
      held.push({
        to: request.to,
        left: count,
        expiresMs: nowMs + CREDIT_LIFETIME_MS,
      });
    }
    return { service: request.service, count, lifetimeMs: CREDIT_LIFETIME_MS };
  }

  /**
   * Takes one credit for a forwarded request.
   *
   * @param from Who forwards.
   * @param service Which service.
   * @param nowMs Time now.
   * @returns Whether there was one.
   */
  admit(from: InstanceId, service: string, nowMs: number): boolean {
    const held = this.#read(service, nowMs).find(({ to, left }) =>
      to === from && left > 0
    );
    if (held === undefined) return false;
    held.left--;
    return true;
  }

  #read(service: string, nowMs: number): Outstanding[] {
    const held = (this.#outstanding.get(service) ?? [])
      .filter(({ left, expiresMs }) => left > 0 && expiresMs > nowMs);
    this.#outstanding.set(service, held);
    return held;
  }
}

interface Held {
  readonly region: RegionId;
  readonly gateway: InstanceId;
  left: number;
  readonly expiresMs: number;
}

/** The asking side: credits that gateways of other regions granted. */
export class CreditPurse {
  #held: Held[] = [];

  /** Records a grant, on the clock of the asker. */
  record(
    grant: CreditGrant,
    from: {
      readonly region: RegionId;
      readonly gateway: InstanceId;
      readonly askedMs: number;
    },
  ): void {
    if (grant.count <= 0) return;
    this.#held.push({
      region: from.region,
      gateway: from.gateway,
      left: grant.count,
      // Half of the lifetime is left for the way there.
      expiresMs: from.askedMs + grant.lifetimeMs / 2,
    });
  }

  /** Returns the credits left for a region. */
  count(region: RegionId, nowMs: number): number {
    this.#held = this.#held.filter(({ left, expiresMs }) =>
      left > 0 && expiresMs > nowMs
    );
    return this.#held.filter((held) => held.region === region)
      .reduce((sum, { left }) => sum + left, 0);
  }

  /** Spends one credit and returns the gateway that granted it. */
  take(region: RegionId, nowMs: number): InstanceId | undefined {
    if (this.count(region, nowMs) === 0) return undefined;
    const held = this.#held.find((candidate) => candidate.region === region)!;
    held.left--;
    return held.gateway;
  }
}
