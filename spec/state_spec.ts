import { mayReplace, pickFresh } from "../state/mod.ts";
import {
  FOLLOWING_INVARIANTS,
  type FollowingInstance,
  replayWrites,
  type SpecWrite,
  updateView,
  type WrittenState,
} from "./followed_writes.ts";
import {
  type Mutant,
  parseEvent,
  replaceAt,
  type SpecEvent,
  type Specification,
} from "./specification.ts";

/** State that the documents of the store result in. */
interface SpecView extends WrittenState {
  /** Revision up to which the view includes the writes. */
  readonly revision: number;
}

/** A full read of the store or a copy from a peer, in transit. */
interface SpecCopy {
  readonly view: SpecView;
  /** Revision after which the copy begins; 0 if it is complete. */
  readonly afterRevision: number;
}

interface SpecInstance extends FollowingInstance<SpecView> {
  /** Revision after which its watch continues; `undefined` if it must read everything first. */
  readonly watchAfter: number | undefined;
}

interface StateSpecState {
  /** Writes in the store; the first has revision 1. */
  readonly writes: readonly SpecWrite[];
  /** Revision up to which the writes are no longer in the store's history. */
  readonly compactedRevision: number;
  readonly instances: readonly SpecInstance[];
  /** Full reads and peers' copies in transit; each can arrive at any time, and more than once. */
  readonly copies: readonly SpecCopy[];
  readonly restarts: number;
}

interface StateFaults {
  readonly appliesOldChanges?: boolean;
  readonly appliesOldCopies?: boolean;
  readonly skipsCompactedHistory?: boolean;
  readonly appliesCopiesWithGaps?: boolean;
  readonly resumesFromNewestRevision?: boolean;
}

const INSTANCE_COUNT = 2;
const MAX_WRITES = 3;
/** What one exploration covers. An exploration of everything at once has too many states. */
interface StateScope {
  readonly name: string;
  /** Maximum number of copies in transit at the same time. */
  readonly maxCopies: number;
  /** Whether copies can be partial, and whether the instances that follow the store change. */
  readonly isRelayed: boolean;
}

const REORDERED_COPIES: StateScope = {
  name: "state",
  maxCopies: 2,
  isRelayed: false,
};
const RELAYED_COPIES: StateScope = {
  name: "state by relay",
  maxCopies: 1,
  isRelayed: true,
};
const EMPTY_VIEW: SpecView = {
  revision: 0,
  version: 0,
  isServerLeaving: false,
};
const INITIAL_INSTANCE: SpecInstance = {
  view: EMPTY_VIEW,
  watchAfter: undefined,
  highestVersion: 0,
  hasSeenLeaving: false,
};

/**
 * Instances follow the state of the store by watches, by full reads and by copies
 * from peers. A copy holds the whole state or the writes after a revision. An
 * instance can start or stop following the store at any time.
 */
export const STATE_SPECS = [REORDERED_COPIES, RELAYED_COPIES].map((scope) =>
  createStateSpec({}, scope)
);

/** Faults of instances that follow the store; the model checker must detect each. */
export const STATE_MUTANTS: readonly Mutant[] = [
  {
    name: "apply changes from a watch that are older than a peer's copy",
    specification: createStateSpec({ appliesOldChanges: true }),
  },
  {
    name: "apply a copy that is older than the state in force",
    specification: createStateSpec({ appliesOldCopies: true }),
  },
  {
    name: "continue from the newest revision when the history was compacted",
    specification: createStateSpec({ skipsCompactedHistory: true }),
  },
  {
    name: "apply a partial copy that begins after the known revision",
    specification: createStateSpec(
      { appliesCopiesWithGaps: true },
      RELAYED_COPIES,
    ),
  },
  {
    name: "resume the watch from the newest revision in place of the known one",
    specification: createStateSpec(
      { resumesFromNewestRevision: true },
      RELAYED_COPIES,
    ),
  },
];

function createStateSpec(
  faults: StateFaults,
  scope: StateScope = REORDERED_COPIES,
): Specification<StateSpecState> {
  return {
    name: scope.name,
    initial: {
      writes: [],
      compactedRevision: 0,
      instances: Array.from({ length: INSTANCE_COUNT }, () => INITIAL_INSTANCE),
      copies: [],
      restarts: 0,
    },
    listEvents: (state) => listEvents(state, scope),
    apply: (state, event) => applyEvent(state, event, faults),
    invariants: [
      ...FOLLOWING_INVARIANTS,
      {
        text:
          "the state in force at a revision is the result of the writes up to it",
        holds: ({ instances, writes }) =>
          instances.every(({ view }) => {
            const written = buildView(writes, view.revision);
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
  const { compactedRevision, copies, instances, restarts, writes } = state;
  const isLeaving = writes.includes("leaving");
  const storeEvents = [
    ...(writes.length < MAX_WRITES ? [{ type: "configure" }] : []),
    ...(writes.length < MAX_WRITES && !isLeaving ? [{ type: "leave" }] : []),
    ...(compactedRevision < writes.length ? [{ type: "compact" }] : []),
    ...(copies.length < maxCopies ? [{ type: "readAll" }] : []),
  ];
  const instanceEvents = instances.flatMap(({ watchAfter }, index) => [
    ...copies.map((_, at) => ({ type: `receive(${index},${at})` })),
    ...(watchAfter === undefined
      ? []
      : listWatchEnds(watchAfter, writes.length).map((upTo) => ({
        type: `watch(${index},${upTo})`,
      }))),
    ...(copies.length < maxCopies
      ? (isRelayed ? listCopyStarts(instances, index) : [0]).map((after) => ({
        type: `send(${index},${after})`,
      }))
      : []),
    ...(isRelayed && watchAfter !== instances[index]!.view.revision
      ? [{ type: `follow(${index})` }]
      : []),
    ...(restarts < 1 ? [{ type: `restart(${index})` }] : []),
  ]);
  return [...storeEvents, ...instanceEvents];
}

/**
 * Returns the revisions after which another instance can ask this one for a copy: 0
 * for a complete copy, or the revision that the other instance knows.
 */
function listCopyStarts(
  instances: readonly SpecInstance[],
  index: number,
): readonly number[] {
  const { revision } = instances[index]!.view;
  const known = instances.filter((_, other) => other !== index)
    .map(({ view }) => view.revision)
    .filter((after) => after < revision);
  return revision === 0 ? [] : [...new Set([0, ...known])];
}

/** Returns the revisions at which a watch answer can end; a delayed one ends before the newest. */
function listWatchEnds(after: number, newest: number): readonly number[] {
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
  const [index = 0, argument = 0] = numbers;
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
      return { ...state, compactedRevision: writes.length };
    case "readAll":
      return {
        ...state,
        copies: [...copies, {
          view: buildView(writes, writes.length),
          afterRevision: 0,
        }],
      };
    case "send":
      return {
        ...state,
        copies: [...copies, { view: instance.view, afterRevision: argument }],
      };
    case "follow":
      return withInstance({
        ...instance,
        watchAfter: faults.resumesFromNewestRevision
          ? writes.length
          : instance.view.revision,
      });
    case "restart":
      return { ...withInstance(INITIAL_INSTANCE), restarts: restarts + 1 };
    case "receive":
      return withInstance(
        applyCopy(writes, instance, copies[argument]!, faults),
      );
    case "watch":
      return withInstance(applyWatchAnswer(state, instance, argument, faults));
    default:
      throw new Error(`Cannot apply event: got ${event.type}`);
  }
}

/** Applies a full read or a copy; an instance without a watch continues from its revision. */
function applyCopy(
  writes: readonly SpecWrite[],
  instance: SpecInstance,
  { view, afterRevision }: SpecCopy,
  faults: StateFaults,
): SpecInstance {
  const hasGap = afterRevision > instance.view.revision;
  if (hasGap && !faults.appliesCopiesWithGaps) return instance;
  const isApplied = faults.appliesOldCopies ||
    mayReplace(
      { era: 0, revision: instance.view.revision },
      { era: 0, revision: view.revision },
    );
  const watchAfter = instance.watchAfter ?? view.revision;
  if (!isApplied) return { ...instance, watchAfter };
  const applied = afterRevision === 0
    ? view
    : applyPartialCopy(writes, instance.view, afterRevision, view.revision);
  return updateView({ ...instance, watchAfter }, applied);
}

/** Applies a copy that holds only the writes after one revision and up to another. */
function applyPartialCopy(
  writes: readonly SpecWrite[],
  known: SpecView,
  after: number,
  upTo: number,
): SpecView {
  const changes = selectWrites(writes, after, upTo);
  const changed = pickFresh(known.revision, changes).reduce(
    (view, { revision, write }) => applyWrite(view, write, revision, writes),
    known,
  );
  return { ...changed, revision: upTo };
}

function selectWrites(
  writes: readonly SpecWrite[],
  after: number,
  upTo: number,
) {
  return writes.map((write, position) => ({ write, revision: position + 1 }))
    .filter(({ revision }) => revision > after && revision <= upTo);
}

function applyWatchAnswer(
  { compactedRevision, writes }: StateSpecState,
  instance: SpecInstance,
  upTo: number,
  faults: StateFaults,
): SpecInstance {
  const after = instance.watchAfter ?? 0;
  if (after < compactedRevision) {
    return faults.skipsCompactedHistory
      ? updateView({ ...instance, watchAfter: writes.length }, {
        ...instance.view,
        revision: writes.length,
      })
      : { ...instance, watchAfter: undefined };
  }
  const events = selectWrites(writes, after, upTo);
  const fresh = faults.appliesOldChanges
    ? events
    : pickFresh(instance.view.revision, events);
  const view = fresh.reduce(
    (known, { revision, write }) => applyWrite(known, write, revision, writes),
    instance.view,
  );
  return updateView({ ...instance, watchAfter: upTo }, view);
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
        version: buildView(writes, revision).version,
      };
    case "leaving":
      return { ...view, revision, isServerLeaving: true };
  }
}

/** Returns the view that the writes up to a revision result in. */
function buildView(writes: readonly SpecWrite[], revision: number): SpecView {
  return { revision, ...replayWrites(writes, revision) };
}
