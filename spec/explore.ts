import { getAdjacencyMap } from "@xstate/graph";
import { fromTransition } from "xstate";
import type { Invariant, SpecEvent, Specification } from "./specification.ts";

/** Result of exploring a specification. */
export interface Exploration {
  /** Number of distinct states reached; the exploration stops early at a violation. */
  readonly stateCount: number;
  /** `undefined` if every invariant holds in every state. */
  readonly violation: Violation | undefined;
}

/** A broken invariant, and the events that lead to the state in which it is broken. */
export interface Violation {
  /** Text of the invariant. */
  readonly invariant: string;
  /** Events from the initial state, in order. */
  readonly trace: readonly string[];
}

interface Vertex<State> {
  readonly state: { readonly context: State };
  readonly transitions: Readonly<
    Record<
      string,
      { readonly state: { readonly context: State }; readonly event: SpecEvent }
    >
  >;
}

/**
 * Explores every reachable state of a specification, and stops at the first state
 * that breaks an invariant.
 *
 * @param specification The specification to explore.
 */
export function explore<State extends object>(
  specification: Specification<State>,
): Exploration {
  const logic = fromTransition(
    (state: State, event: SpecEvent) => specification.apply(state, event),
    specification.initial,
  );
  const findBrokenInvariant = (state: State) =>
    specification.invariants.find(({ holds }) => !holds(state));
  let hasViolation = false;
  const map = getAdjacencyMap(logic, {
    events: (snapshot) => [...specification.listEvents(snapshot.context)],
    serializeState: (snapshot) => JSON.stringify(snapshot.context),
    serializeEvent: ({ type }) => type,
    stopWhen: (snapshot) => {
      hasViolation ||= findBrokenInvariant(snapshot.context) !== undefined;
      return hasViolation;
    },
  }) as unknown as Readonly<Record<string, Vertex<State>>>;
  const stateCount = Object.keys(map).length;
  const hasBrokenState = Object.values(map).some(({ state }) =>
    findBrokenInvariant(state.context)
  );
  return {
    stateCount,
    violation: hasBrokenState
      ? findShortestViolation(map, specification, findBrokenInvariant)
      : undefined,
  };
}

/** Searches the map breadth first, from the initial state to the first broken one. */
function findShortestViolation<State extends object>(
  map: Readonly<Record<string, Vertex<State>>>,
  specification: Specification<State>,
  findBrokenInvariant: (state: State) => Invariant<State> | undefined,
): Violation | undefined {
  const start = JSON.stringify(specification.initial);
  const predecessors = new Map<
    string,
    { readonly from: string; readonly event: string }
  >();
  const queue = [start];
  const seen = new Set(queue);
  for (let position = 0; position < queue.length; position++) {
    const key = queue[position]!;
    const vertex = map[key];
    if (vertex === undefined) continue;
    const broken = findBrokenInvariant(vertex.state.context);
    if (broken !== undefined) {
      return { invariant: broken.text, trace: buildTrace(predecessors, key) };
    }
    Object.values(vertex.transitions).forEach(({ state, event }) => {
      const next = JSON.stringify(state.context);
      if (seen.has(next)) return;
      seen.add(next);
      predecessors.set(next, { from: key, event: event.type });
      queue.push(next);
    });
  }
  return undefined;
}

function buildTrace(
  predecessors: ReadonlyMap<
    string,
    { readonly from: string; readonly event: string }
  >,
  key: string,
): readonly string[] {
  const trace: string[] = [];
  for (
    let step = predecessors.get(key);
    step !== undefined;
    step = predecessors.get(step.from)
  ) {
    trace.unshift(step.event);
  }
  return trace;
}
