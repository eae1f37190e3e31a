import { getAdjacencyMap } from "@xstate/graph";
import { fromTransition } from "xstate";
import type { Invariant, SpecEvent, Specification } from "./specification.ts";

/** What a full exploration found. */
export interface Exploration {
  readonly states: number;
  /** `undefined` if every invariant holds in every state. */
  readonly violation: Violation | undefined;
}

/** A state in which an invariant does not hold, and a way there. */
export interface Violation {
  readonly invariant: string;
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
 * Explores every reachable state of a specification, until one breaks an
 * invariant.
 *
 * @param specification What to explore.
 */
export function explore<State extends object>(
  specification: Specification<State>,
): Exploration {
  const logic = fromTransition(
    (state: State, event: SpecEvent) => specification.apply(state, event),
    specification.initial,
  );
  const findBroken = (state: State) =>
    specification.invariants.find(({ holds }) => !holds(state));
  let hasFound = false;
  const map = getAdjacencyMap(logic, {
    events: (snapshot) => [...specification.listEvents(snapshot.context)],
    serializeState: (snapshot) => JSON.stringify(snapshot.context),
    serializeEvent: ({ type }) => type,
    stopWhen: (snapshot) => {
      hasFound ||= findBroken(snapshot.context) !== undefined;
      return hasFound;
    },
  }) as unknown as Readonly<Record<string, Vertex<State>>>;
  const states = Object.keys(map).length;
  const isBroken = Object.values(map).some(({ state }) =>
    findBroken(state.context)
  );
  return {
    states,
    violation: isBroken
      ? findShortest(map, specification, findBroken)
      : undefined,
  };
}

/** Breadth first over the map, from the initial state to the first broken one. */
function findShortest<State extends object>(
  map: Readonly<Record<string, Vertex<State>>>,
  specification: Specification<State>,
  findBroken: (state: State) => Invariant<State> | undefined,
): Violation | undefined {
  const start = JSON.stringify(specification.initial);
  const cameFrom = new Map<
    string,
    { readonly from: string; readonly event: string }
  >();
  const queue = [start];
  const seen = new Set(queue);
  for (let at = 0; at < queue.length; at++) {
    const key = queue[at]!;
    const vertex = map[key];
    if (vertex === undefined) continue;
    const broken = findBroken(vertex.state.context);
    if (broken !== undefined) {
      return { invariant: broken.text, trace: readTrace(cameFrom, key) };
    }
    Object.values(vertex.transitions).forEach(({ state, event }) => {
      const next = JSON.stringify(state.context);
      if (seen.has(next)) return;
      seen.add(next);
      cameFrom.set(next, { from: key, event: event.type });
      queue.push(next);
    });
  }
  return undefined;
}

function readTrace(
  cameFrom: ReadonlyMap<
    string,
    { readonly from: string; readonly event: string }
  >,
  key: string,
): readonly string[] {
  const trace: string[] = [];
  for (
    let step = cameFrom.get(key);
    step !== undefined;
    step = cameFrom.get(step.from)
  ) {
    trace.unshift(step.event);
  }
  return trace;
}
