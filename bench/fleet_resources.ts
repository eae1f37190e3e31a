import {
  type EngineSpeed,
  type FakeFleet,
  hashToken,
  NEW_ENGINE,
  OLD_ENGINE,
} from "../standin/mod.ts";

/** Numbers of engines in one region. */
export interface RegionEngines {
  readonly region: string;
  /** Engines with the speed of `NEW_ENGINE`. */
  readonly fresh: number;
  /** Engines with the speed of `OLD_ENGINE`. */
  readonly old: number;
}

/** Engines and teams of a fleet, and settings of its service. */
export interface FleetPlan {
  readonly engines: readonly RegionEngines[];
  /** Weights of latency and cost in the choice of an engine. Default: latency 1, cost 0. */
  readonly weights?: { readonly latency: number; readonly cost: number };
  /** Limit of each team. Default: 1 million, which no benchmark reaches. */
  readonly requestsPerSecond?: number;
  /** Number of teams, which are named `team-0`, `team-1` and so on. Default: 1. */
  readonly teams?: number;
}

/** Name of the model that fleets serve. */
export const FLEET_MODEL = "model-a";
const SERVICE = "service-a";

/**
 * Declares a service with its engines and teams, and waits until they are in force.
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
  // Engine addresses are numeric, and the fakes find an engine by its port.
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
