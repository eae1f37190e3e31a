import { mayReplace, pickFresh } from "../state/mod.ts";
import {
  type Mutant,
  parseEvent,
  replaceAt,
  type SpecEvent,
  type Specification,
} from "./specification.ts";

/** One write: a configuration with the next version, or a server that leaves. */
type SpecWrite = "configuration" | "leaving";

/** What the documents of the store say together. */
interface SpecView {
  /** Revision up to which writes are in it. */
  readonly revision: number;
  readonly version: number;
  readonly isServerLeaving: boolean;
}

interface SpecInstance {
  readonly view: SpecView;
  /** Where its watch goes on; `undefined`: it must read all first. */
  readonly watchAfter: number | undefined;
  /** Highest version that was in force since its start. */
  readonly highestVersion: number;
  readonly hasSeenLeaving: boolean;
}

interface StateSpecState {
  /** Writes in the store, the first at revision 1. */
  readonly writes: readonly SpecWrite[];
  /** Writes up to this revision are no longer in the history. */
  readonly compacted: number;
  readonly instances: readonly SpecInstance[];
  /** Full reads and peers' copies on their way; each may arrive at any time, or again. */
  readonly copies: readonly SpecView[];
  readonly restarts: number;
}

interface StateFaults {
  readonly appliesOldChanges?: boolean;
  readonly appliesOldCopies?: boolean;
  readonly skipsLostHistory?: boolean;
}

const INSTANCES = 2;
const MAX_WRITES = 3;
const MAX_COPIES = 2;
const EMPTY_VIEW: SpecView = {
  revision: 0,
  version: 0,
  isServerLeaving: false,
};
const FRESH_INSTANCE: SpecInstance = {
  view: EMPTY_VIEW,
  watchAfter: undefined,
  highestVersion: 0,
  hasSeenLeaving: false,
};

/** The state of the store, followed by watches, full reads and copies of peers. */
export const STATE_SPEC = createStateSpec({});

/** Faults of following the store that must be found. */
export const STATE_MUTANTS: readonly Mutant[] = [
  {
    name: "apply changes of a watch that are older than a peer's copy",
    specification: createStateSpec({ appliesOldChanges: true }),
  },
  {
    name: "apply a copy that is older than what is in force",
    specification: createStateSpec({ appliesOldCopies: true }),
  },
  {
    name: "go on from the newest revision when the history is lost",
    specification: createStateSpec({ skipsLostHistory: true }),
  },
];

function createStateSpec(faults: StateFaults): Specification<StateSpecState> {
  return {
    name: "state",
    initial: {
      writes: [],
      compacted: 0,
      instances: Array.from({ length: INSTANCES }, () => FRESH_INSTANCE),
      copies: [],
      restarts: 0,
    },
    listEvents,
    apply: (state, event) => applyEvent(state, event, faults),
    invariants: [
      {
        text: "a configuration in force never reverts to an older one",
        holds: ({ instances }) =>
          instances.every(({ highestVersion, view }) =>
            view.version >= highestVersion
          ),
      },
      {
        text: "a server that is known to leave gets nothing again",
        holds: ({ instances }) =>
          instances.every(({ hasSeenLeaving, view }) =>
            !hasSeenLeaving || view.isServerLeaving
          ),
      },
      {
        text: "what is in force at a revision is what was written up to it",
        holds: ({ instances, writes }) =>
          instances.every(({ view }) => {
            const written = createView(writes, view.revision);
            return written.version === view.version &&
              written.isServerLeaving === view.isServerLeaving;
          }),
      },
    ],
  };
}

function listEvents(state: StateSpecState): readonly SpecEvent[] {
  const { compacted, copies, instances, restarts, writes } = state;
  const hasLeft = writes.includes("leaving");
  const ofStore = [
    ...(writes.length < MAX_WRITES ? [{ type: "configure" }] : []),
    ...(writes.length < MAX_WRITES && !hasLeft ? [{ type: "leave" }] : []),
    ...(compacted < writes.length ? [{ type: "compact" }] : []),
    ...(copies.length < MAX_COPIES ? [{ type: "read" }] : []),
  ];
  const ofInstances = instances.flatMap(({ watchAfter }, index) => [
    ...copies.map((_, at) => ({ type: `take(${index},${at})` })),
    ...(watchAfter === undefined
      ? []
      : listAnswers(watchAfter, writes.length).map((upTo) => ({
        type: `watch(${index},${upTo})`,
      }))),
    ...(copies.length < MAX_COPIES ? [{ type: `copy(${index})` }] : []),
    ...(restarts < 1 ? [{ type: `restart(${index})` }] : []),
  ]);
  return [...ofStore, ...ofInstances];
}

/** Revisions that an answer to a watch may end at: it may have been on its way for a while. */
function listAnswers(after: number, newest: number): readonly number[] {
  return Array.from(
    { length: newest - after },
    (_, index) => after + 1 + index,
  );
}

function applyEvent(
  state: StateSpecState,
  event: SpecEvent,
  faults: StateFaults,
): StateSpecState {
  const { name, numbers } = parseEvent(event);
  const [index = 0, at = 0] = numbers;
  const { copies, instances, restarts, writes } = state;
  const instance = instances[index]!;
  const withInstance = (changed: SpecInstance): StateSpecState => ({
    ...state,
    instances: replaceAt(instances, index, changed),
  });
  switch (name) {
    case "configure":
      return { ...state, writes: [...writes, "configuration"] };
    case "leave":
      return { ...state, writes: [...writes, "leaving"] };
    case "compact":
      return { ...state, compacted: writes.length };
    case "read":
      return {
        ...state,
        copies: [...copies, createView(writes, writes.length)],
      };
    case "copy":
      return { ...state, copies: [...copies, instance.view] };
    case "restart":
      return { ...withInstance(FRESH_INSTANCE), restarts: restarts + 1 };
    case "take":
      return withInstance(takeCopy(instance, copies[at]!, faults));
    case "watch":
      return withInstance(watch(state, instance, at, faults));
    default:
      throw new Error(`Unknown event ${event.type}`);
  }
}

/** Takes a full read or a copy, and goes on watching from it. */
function takeCopy(
  instance: SpecInstance,
  copy: SpecView,
  faults: StateFaults,
): SpecInstance {
  const isTaken = faults.appliesOldCopies ||
    mayReplace(instance.view.revision, copy.revision);
  const watchAfter = instance.watchAfter ?? copy.revision;
  return isTaken
    ? record({ ...instance, watchAfter }, copy)
    : { ...instance, watchAfter };
}

function watch(
  { compacted, writes }: StateSpecState,
  instance: SpecInstance,
  upTo: number,
  faults: StateFaults,
): SpecInstance {
  const after = instance.watchAfter ?? 0;
  if (after < compacted) {
    return faults.skipsLostHistory
      ? record({ ...instance, watchAfter: writes.length }, {
        ...instance.view,
        revision: writes.length,
      })
      : { ...instance, watchAfter: undefined };
  }
  const events = writes.map((write, position) => ({
    write,
    revision: position + 1,
  })).filter(({ revision }) => revision > after && revision <= upTo);
  const fresh = faults.appliesOldChanges
    ? events
    : pickFresh(instance.view.revision, events);
  const view = fresh.reduce(
    (known, { revision, write }) => applyWrite(known, write, revision, writes),
    instance.view,
  );
  return record({ ...instance, watchAfter: upTo }, view);
}

function applyWrite(
  view: SpecView,
  write: SpecWrite,
  revision: number,
  writes: readonly SpecWrite[],
): SpecView {
  switch (write) {
    case "configuration":
      return {
        ...view,
        revision,
        version: createView(writes, revision).version,
      };
    case "leaving":
      return { ...view, revision, isServerLeaving: true };
  }
}

function record(instance: SpecInstance, view: SpecView): SpecInstance {
  return {
    ...instance,
    view,
    highestVersion: Math.max(instance.highestVersion, view.version),
    hasSeenLeaving: instance.hasSeenLeaving || view.isServerLeaving,
  };
}

/** What the writes up to a revision say. */
function createView(writes: readonly SpecWrite[], revision: number): SpecView {
  const included = writes.slice(0, revision);
  return {
    revision,
    version: included.filter((write) => write === "configuration").length,
    isServerLeaving: included.includes("leaving"),
  };
}
