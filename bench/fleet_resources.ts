import {
  type EngineSpeed,
  type FakeFleet,
  hashToken,
  NEW_ENGINE,
  OLD_ENGINE,
} from "../standin/mod.ts";

/** Engines of one region. */
export interface RegionEngines {
  readonly region: string;
  readonly fresh: number;
  readonly old: number;
}

/** What a fleet serves. */
export interface FleetPlan {
  readonly engines: readonly RegionEngines[];
  /** Weights of the service. Default: latency 1, cost 0. */
  readonly weights?: { readonly latency: number; readonly cost: number };
  /** Limit of each team. Default: out of reach. */
  readonly requestsPerSecond?: number;
  /** Number of teams, `team-0` and on. Default: 1. */
  readonly teams?: number;
}

/** Model that fleets serve. */
export const FLEET_MODEL = "model-a";
const SERVICE = "service-a";

/**
 * Declares a service with engines and teams, and waits until it is in force.
 *
 * @param fleet A fresh fleet.
 * @param plan Engines and teams.
 */
export async function declareFleet(
  fleet: FakeFleet,
  plan: FleetPlan,
): Promise<void> {
  const engines = plan.engines.flatMap(({ region, fresh, old }) => [
    ...Array.from(
      { length: fresh },
      (_, index) => addEngine(fleet, region, `n${index}`, NEW_ENGINE),
    ),
    ...Array.from(
      { length: old },
      (_, index) => addEngine(fleet, region, `o${index}`, OLD_ENGINE),
    ),
  ]);
  const teams = Array.from({ length: plan.teams ?? 1 }, (_, index) => ({
    kind: "team",
    name: `team-${index}`,
    spec: {
      tokenHashes: [hashToken(`team-${index}`)],
      requestsPerSecond: plan.requestsPerSecond ?? 1_000_000,
      concurrentStreams: 1_000_000,
    },
  }));
  await fleet.apply([
    { kind: "model", name: FLEET_MODEL, spec: {} },
    {
      kind: "service",
      name: SERVICE,
      spec: {
        model: FLEET_MODEL,
        weights: plan.weights ?? { latency: 1, cost: 0 },
        firstTokenMs: 770,
      },
    },
    ...engines,
    ...teams,
  ]);
}

function addEngine(
  fleet: FakeFleet,
  region: string,
  name: string,
  speed: EngineSpeed,
) {
  const id = `${region}-${name}`;
  // Addresses of engines are numbers; the fakes find them by the port.
  const url = `http://127.0.0.1:${10_000 + fleet.backend.engines.size}`;
  fleet.backend.addEngine(url, region, speed);
  return {
    kind: "engine",
    name: id,
    spec: {
      service: SERVICE,
      region,
      failureDomain: `${region}-fd`,
      url,
      pricePerSecond: speed === NEW_ENGINE ? 1 : 0.4,
      slots: speed.slots,
    },
  };
}
