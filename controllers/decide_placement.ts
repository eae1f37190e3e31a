import type { PlacementStatus } from "../engine/mod.ts";
import type { EngineState } from "../engine/mod.ts";

/** Placement of one service in one region, as declared by operators. */
export interface WantedPlacement {
  readonly service: string;
  readonly version: string;
  readonly replicas: number;
}

/** State of an engine that placement decides on. */
export interface PlacedEngine {
  readonly id: string;
  readonly service: string;
  readonly isLeaving: boolean;
  /** State that the engine reports; `undefined` if it does not answer. */
  readonly state: EngineState | undefined;
  /** Time before which the engine gets no load order after a failed load, in milliseconds. */
  readonly retryAtMs: number;
}

/** An order to send to an engine. */
export interface PlacementOrder {
  readonly engine: string;
  /** Version to load; `undefined` to unload. */
  readonly version: string | undefined;
}

/** Result of {@linkcode decidePlacement}. */
export interface PlacementDecision {
  readonly orders: readonly PlacementOrder[];
  readonly statuses: readonly PlacementStatus[];
}

/** Input of {@linkcode decidePlacement}. */
export interface PlacementRequest {
  readonly wanted: readonly WantedPlacement[];
  readonly engines: readonly PlacedEngine[];
  /** Maximum number of concurrent loads in the region, as allowed by the weight store's rate. */
  readonly maxLoads: number;
  readonly nowMs: number;
}

/**
 * Decides which engines load or unload which version. It gives no orders where the
 * reported state equals the declared one, limits loads to the weight store's rate, and
 * never takes the last engine that serves a service out of use for a load.
 *
 * @param request Declared placements and reported states.
 */
export function decidePlacement(request: PlacementRequest): PlacementDecision {
  const loading =
    request.engines.filter(({ state }) => state?.loading !== undefined).length;
  let loadsLeft = Math.max(0, request.maxLoads - loading);
  const decisions = request.wanted.map((wanted) => {
    const decision = decideServicePlacement(wanted, request, loadsLeft);
    loadsLeft -= decision.orders.filter(({ version }) =>
      version !== undefined
    ).length;
    return decision;
  });
  return {
    orders: decisions.flatMap(({ orders }) => orders),
    statuses: decisions.map(({ status }) => status),
  };
}

function decideServicePlacement(
  wanted: WantedPlacement,
  request: PlacementRequest,
  loadsLeft: number,
): {
  readonly orders: readonly PlacementOrder[];
  readonly status: PlacementStatus;
} {
  const engines = request.engines.filter(({ service, isLeaving }) =>
    service === wanted.service && !isLeaving
  );
  const serving = engines.filter((engine) => isServing(engine, wanted.version));
  const loading = engines.filter(({ state }) =>
    state?.loading === wanted.version
  );
  const missing = wanted.replicas - serving.length - loading.length;
  const candidates = engines.filter((engine) => canLoad(engine, wanted.version))
    .toSorted(compareEmptyFirst);
  const ready = candidates.filter(({ retryAtMs }) =>
    retryAtMs <= request.nowMs
  );
  const loads = pickLoads(
    ready,
    engines,
    Math.min(Math.max(0, missing), loadsLeft),
  );
  const unloads = missing >= 0 ? [] : serving.slice(wanted.replicas);
  return {
    orders: [
      ...loads.map(({ id }) => ({ engine: id, version: wanted.version })),
      ...unloads.map(({ id }) => ({ engine: id, version: undefined })),
    ],
    status: {
      service: wanted.service,
      wanted: wanted.replicas,
      serving: serving.length,
      loading: loading.length + loads.length,
      reason: missing <= 0 ? "" : explainMissing({
        missing,
        engines,
        candidates,
        ready,
        loads: loads.length,
        loadsLeft,
      }),
    },
  };
}

/**
 * Returns the engines to load on. An engine that serves another version is picked
 * only while another engine goes on serving.
 */
function pickLoads(
  ready: readonly PlacedEngine[],
  engines: readonly PlacedEngine[],
  count: number,
): readonly PlacedEngine[] {
  const servingCount =
    engines.filter(({ state }) =>
      state?.version !== undefined && state.loading === undefined
    ).length;
  let replaceableCount = Math.max(0, servingCount - 1);
  return ready.filter(({ state }) => {
    if (state?.version === undefined) return true;
    replaceableCount--;
    return replaceableCount >= 0;
  }).slice(0, count);
}

function isServing({ state }: PlacedEngine, version: string): boolean {
  return state?.version === version && state.loading === undefined;
}

function canLoad({ state }: PlacedEngine, version: string): boolean {
  return state !== undefined && state.loading === undefined &&
    state.version !== version;
}

function compareEmptyFirst(a: PlacedEngine, b: PlacedEngine): number {
  const rank = ({ state }: PlacedEngine) =>
    state?.version === undefined ? 0 : 1;
  return rank(a) - rank(b) || (a.id < b.id ? -1 : 1);
}

function explainMissing(facts: {
  readonly missing: number;
  readonly engines: readonly PlacedEngine[];
  readonly candidates: readonly PlacedEngine[];
  readonly ready: readonly PlacedEngine[];
  readonly loads: number;
  readonly loadsLeft: number;
}): string {
  const unresponsive =
    facts.engines.filter(({ state }) => state === undefined).length;
  const failure = facts.candidates.map(({ state }) => state?.failure).find((
    text,
  ) => text);
  if (facts.loads > 0) return `${facts.missing} to go: loading`;
  if (facts.candidates.length === 0) {
    return unresponsive > 0
      ? `${unresponsive} engines do not answer`
      : "there are no more engines";
  }
  if (facts.ready.length === 0) {
    return `waiting after a failed load: ${failure ?? "unknown"}`;
  }
  if (facts.loadsLeft <= 0) return "waiting for the rate of the weight store";
  return "waiting: the last serving engine is not taken out of use";
}
