import { mayReplace, pickFresh } from "../state/mod.ts";
import {
  enforceView,
  FOLLOWING_INVARIANTS,
  type FollowingInstance,
  readWrites,
  type SpecWrite,
  type WrittenState,
} from "./followed_writes.ts";
import {
  type Mutant,
  parseEvent,
  replaceAt,
  type SpecEvent,
  type Specification,
} from "./specification.ts";

/** What the documents of the store say together. */
interface SpecView extends WrittenState {
  /** Revision up to which writes are in it. */
  readonly revision: number;
}

/** A full read, or a peer's copy, on its way. */
interface SpecCopy {
  readonly view: SpecView;
  /** Revision that it goes on from; 0: it holds everything. */
  readonly afterRevision: number;
}

interface SpecInstance extends FollowingInstance<SpecView> {
  /** Where its watch goes on; `undefined`: it must read all first. */
  readonly watchAfter: number | undefined;
}

interface StateSpecState {
  /** Writes in the store, the first at revision 1. */
  readonly writes: readonly SpecWrite[];
  /** Writes up to this revision are no longer in the history. */
  readonly compacted: number;
  readonly instances: readonly SpecInstance[];
  /** Full reads and peers' copies on their way; each may arrive at any time, or again. */
  readonly copies: readonly SpecCopy[];
  readonly restarts: number;
}

interface StateFaults {
  readonly appliesOldChanges?: boolean;
  readonly appliesOldCopies?: boolean;
  readonly skipsLostHistory?: boolean;
  readonly appliesCopiesWithGaps?: boolean;
  readonly resumesBeyondItsView?: boolean;
}

const INSTANCES = 2;
const MAX_WRITES = 3;
/** What of the possible an exploration covers: all together has too many states. */
interface StateScope {
  readonly name: string;
  /** Copies on their way at the same time. */
  readonly maxCopies: number;
  /** Whether copies may hold a part, and who follows the store changes. */
  readonly isRelayed: boolean;
}

const OVERTAKING_COPIES: StateScope = {
  name: "state",
  maxCopies: 2,
  isRelayed: false,
};
const RELAYS: StateScope = {
  name: "state by relay",
  maxCopies: 1,
  isRelayed: true,
};
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

/**
 * The state of the store, followed by watches, full reads and copies of peers,
 * which hold everything or what came after a revision. Whether an instance
 * follows the store changes at any time.
 */
export const STATE_SPECS = [OVERTAKING_COPIES, RELAYS].map((scope) =>
  createStateSpec({}, scope)
);

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
  {
    name: "apply a copy that goes on from more than is known",
    specification: createStateSpec({ appliesCopiesWithGaps: true }, RELAYS),
  },
  {
    name: "follow the store again from its newest revision",
    specification: createStateSpec({ resumesBeyondItsView: true }, RELAYS),
  },
];

function createStateSpec(
  faults: StateFaults,
  scope: StateScope = OVERTAKING_COPIES,
): Specification<StateSpecState> {
  return {
    name: scope.name,
    initial: {
      writes: [],
      compacted: 0,
      instances: Array.from({ length: INSTANCES }, () => FRESH_INSTANCE),
      copies: [],
      restarts: 0,
    },
    listEvents: (state) => listEvents(state, scope),
    apply: (state, event) => applyEvent(state, event, faults),
    invariants: [
      ...FOLLOWING_INVARIANTS,
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

function listEvents(
  state: StateSpecState,
  { isRelayed, maxCopies }: StateScope,
): readonly SpecEvent[] {
  const { compacted, copies, instances, restarts, writes } = state;
  const hasLeft = writes.includes("leaving");
  const ofStore = [
    ...(writes.length < MAX_WRITES ? [{ type: "configure" }] : []),
    ...(writes.length < MAX_WRITES && !hasLeft ? [{ type: "leave" }] : []),
    ...(compacted < writes.length ? [{ type: "compact" }] : []),
    ...(copies.length < maxCopies ? [{ type: "read" }] : []),
  ];
  const ofInstances = instances.flatMap(({ watchAfter }, index) => [
    ...copies.map((_, at) => ({ type: `take(${index},${at})` })),
    ...(watchAfter === undefined
      ? []
      : listAnswers(watchAfter, writes.length).map((upTo) => ({
        type: `watch(${index},${upTo})`,
      }))),
    ...(copies.length < maxCopies
      ? (isRelayed ? listAsked(instances, index) : [0]).map((after) => ({
        type: `copy(${index},${after})`,
      }))
      : []),
    ...(isRelayed && watchAfter !== instances[index]!.view.revision
      ? [{ type: `follow(${index})` }]
      : []),
    ...(restarts < 1 ? [{ type: `restart(${index})` }] : []),
  ]);
  return [...ofStore, ...ofInstances];
}

/** Revisions that copies of an instance are asked after: what another one knows, or nothing. */
function listAsked(
  instances: readonly SpecInstance[],
  index: number,
): readonly number[] {
  const { revision } = instances[index]!.view;
  const known = instances.filter((_, other) => other !== index)
    .map(({ view }) => view.revision)
    .filter((after) => after < revision);
  return revision === 0 ? [] : [...new Set([0, ...known])];
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
        copies: [...copies, {
          view: createView(writes, writes.length),
          afterRevision: 0,
        }],
      };
    case "copy":
      return {
        ...state,
        copies: [...copies, { view: instance.view, afterRevision: at }],
      };
    case "follow":
      return withInstance({
        ...instance,
        watchAfter: faults.resumesBeyondItsView
          ? writes.length
          : instance.view.revision,
      });
    case "restart":
      return { ...withInstance(FRESH_INSTANCE), restarts: restarts + 1 };
    case "take":
      return withInstance(takeCopy(writes, instance, copies[at]!, faults));
    case "watch":
      return withInstance(watch(state, instance, at, faults));
    default:
      throw new Error(`Unknown event ${event.type}`);
  }
}

/** Takes a full read or a copy, and goes on watching from it. */
function takeCopy(
  writes: readonly SpecWrite[],
  instance: SpecInstance,
  { view, afterRevision }: SpecCopy,
  faults: StateFaults,
): SpecInstance {
  const hasGap = afterRevision > instance.view.revision;
  if (hasGap && !faults.appliesCopiesWithGaps) return instance;
  const isTaken = faults.appliesOldCopies ||
    mayReplace(
      { era: 0, revision: instance.view.revision },
      { era: 0, revision: view.revision },
    );
  const watchAfter = instance.watchAfter ?? view.revision;
  if (!isTaken) return { ...instance, watchAfter };
  const taken = afterRevision === 0
    ? view
    : applyPart(writes, instance.view, afterRevision, view.revision);
  return enforceView({ ...instance, watchAfter }, taken);
}

/** Applies the writes after one revision up to another one. */
function applyPart(
  writes: readonly SpecWrite[],
  known: SpecView,
  after: number,
  upTo: number,
): SpecView {
  const changes = listWrites(writes, after, upTo);
  const changed = pickFresh(known.revision, changes).reduce(
    (view, { revision, write }) => applyWrite(view, write, revision, writes),
    known,
  );
  return { ...changed, revision: upTo };
}

function listWrites(
  writes: readonly SpecWrite[],
  after: number,
  upTo: number,
) {
  return writes.map((write, position) => ({ write, revision: position + 1 }))
    .filter(({ revision }) => revision > after && revision <= upTo);
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
      ? enforceView({ ...instance, watchAfter: writes.length }, {
        ...instance.view,
        revision: writes.length,
      })
      : { ...instance, watchAfter: undefined };
  }
  const events = listWrites(writes, after, upTo);
  const fresh = faults.appliesOldChanges
    ? events
    : pickFresh(instance.view.revision, events);
  const view = fresh.reduce(
    (known, { revision, write }) => applyWrite(known, write, revision, writes),
    instance.view,
  );
  return enforceView({ ...instance, watchAfter: upTo }, view);
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

/** What the writes up to a revision say. */
function createView(writes: readonly SpecWrite[], revision: number): SpecView {
  return { revision, ...readWrites(writes, revision) };
}
