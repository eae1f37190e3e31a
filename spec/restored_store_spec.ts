import { mayReplace, pickFresh } from "../state/mod.ts";
import type { StorePosition } from "../store/mod.ts";
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

/** State that an instance has in force, and the store position up to which it knows the writes. */
interface SpecView extends WrittenState, StorePosition {}

interface RestoredStoreState {
  /** Era of the store; each restore starts a new one. */
  readonly era: number;
  /** Writes in the store; the first has revision 1 of the era. */
  readonly writes: readonly SpecWrite[];
  /** Writes that the store lost and that must be written again, in order. */
  readonly lost: readonly SpecWrite[];
  readonly instances: readonly FollowingInstance<SpecView>[];
  /** Full reads and peers' copies in transit; each can arrive at any time, and more than once. */
  readonly copies: readonly SpecView[];
  /** Whether an instance has ignored a write that the store reported to it. */
  readonly hasSkippedWrite: boolean;
}

interface RestoredStoreFaults {
  /** Compares revisions without regard to their eras. */
  readonly comparesRevisionsOnly?: boolean;
  /** Drops the writes that the store lost when a copy is applied. */
  readonly dropsLostWrites?: boolean;
}

const INSTANCE_COUNT = 2;
const MAX_WRITES = 3;
const MAX_ERAS = 1;
/** Maximum number of copies in transit; more have too many states. Dropping a copy allows another one. */
const MAX_COPIES = 1;
const INITIAL_VIEW: SpecView = {
  era: 0,
  revision: 0,
  version: 0,
  isServerLeaving: false,
};

/** A store that is restored from an older copy of itself, and two instances that follow it. */
export const RESTORED_STORE_SPEC = createRestoredStoreSpec({});

/** Faults of instances that follow a restored store; the model checker must detect each. */
export const RESTORED_STORE_MUTANTS: readonly Mutant[] = [
  {
    name: "compare revisions of different eras",
    specification: createRestoredStoreSpec({ comparesRevisionsOnly: true }),
  },
  {
    name: "drop the writes that the store lost",
    specification: createRestoredStoreSpec({ dropsLostWrites: true }),
  },
];

function createRestoredStoreSpec(
  faults: RestoredStoreFaults,
): Specification<RestoredStoreState> {
  return {
    name: "restored store",
    initial: {
      era: 0,
      writes: [],
      lost: [],
      instances: Array.from({ length: INSTANCE_COUNT }, () => ({
        view: INITIAL_VIEW,
        highestVersion: 0,
        hasSeenLeaving: false,
      })),
      copies: [],
      hasSkippedWrite: false,
    },
    listEvents,
    apply: (state, event) => applyEvent(state, event, faults),
    invariants: [
      ...FOLLOWING_INVARIANTS,
      {
        text: "what the store reports in its current era is in force",
        holds: ({ hasSkippedWrite }) => !hasSkippedWrite,
      },
    ],
  };
}

function listEvents(state: RestoredStoreState): readonly SpecEvent[] {
  const { copies, era, instances, lost, writes } = state;
  const isLeaving = [...writes, ...lost].includes("leaving");
  const mayWrite = writes.length + lost.length < MAX_WRITES;
  const mayCopy = copies.length < MAX_COPIES;
  return [
    ...(mayWrite ? [{ type: "configure" }] : []),
    ...(mayWrite && !isLeaving ? [{ type: "leave" }] : []),
    ...(lost.length > 0 ? [{ type: "writeLost" }] : []),
    ...(era < MAX_ERAS
      ? writes.map((_, upTo) => ({ type: `restore(${upTo})` }))
      : []),
    ...(mayCopy ? [{ type: "readAll" }] : [{ type: "drop" }]),
    ...instances.flatMap((_, index) => [
      ...copies.map((_, at) => ({ type: `receive(${index},${at})` })),
      ...(mayCopy ? [{ type: `send(${index})` }] : []),
      { type: `watch(${index})` },
    ]),
  ];
}

function applyEvent(
  state: RestoredStoreState,
  event: SpecEvent,
  faults: RestoredStoreFaults,
): RestoredStoreState {
  const { name, numbers } = parseEvent(event);
  const [index = 0, copyIndex = 0] = numbers;
  const { copies, era, instances, lost, writes } = state;
  const withView = (view: SpecView): RestoredStoreState => ({
    ...state,
    instances: replaceAt(
      instances,
      index,
      updateView(instances[index]!, view),
    ),
  });
  switch (name) {
    case "configure":
      return { ...state, writes: [...writes, "configuration"] };
    case "leave":
      return { ...state, writes: [...writes, "leaving"] };
    case "writeLost":
      return { ...state, writes: [...writes, lost[0]!], lost: lost.slice(1) };
    case "restore":
      return {
        ...state,
        era: era + 1,
        writes: writes.slice(0, index),
        lost: [...writes.slice(index), ...lost],
      };
    case "readAll": {
      const position = { era, revision: writes.length };
      return {
        ...state,
        copies: [...copies, {
          ...position,
          ...replayWrites(writes, position.revision),
        }],
      };
    }
    case "drop":
      return { ...state, copies: [] };
    case "send":
      return { ...state, copies: [...copies, instances[index]!.view] };
    case "receive":
      return withView(
        applyCopy(instances[index]!.view, copies[copyIndex]!, faults),
      );
    case "watch": {
      const instance = instances[index]!;
      const isOtherEra = instance.view.era !== era;
      // The answer names another era, so the instance must read the whole store first.
      if (isOtherEra && !faults.comparesRevisionsOnly) return state;
      const view = applyWatchAnswer(state, instance.view);
      const written = replayWrites(writes, writes.length);
      return {
        ...withView(view),
        hasSkippedWrite: !coversState(view, written),
      };
    }
    default:
      throw new Error(`Cannot apply event: got ${event.type}`);
  }
}

/** Applies a full read or a copy, and retains what is known from writes that the store lost. */
function applyCopy(
  known: SpecView,
  copy: SpecView,
  faults: RestoredStoreFaults,
): SpecView {
  const isApplied = faults.comparesRevisionsOnly
    ? mayReplace({ ...known, era: 0 }, { ...copy, era: 0 })
    : mayReplace(known, copy);
  if (!isApplied) return mergeViews(known, known, copy);
  return faults.dropsLostWrites ? copy : mergeViews(copy, known, copy);
}

/** Applies the writes after the known revision. */
function applyWatchAnswer(
  { writes }: RestoredStoreState,
  known: SpecView,
): SpecView {
  const revisions = writes.map((_, at) => ({ at, revision: at + 1 }));
  const fresh = pickFresh(known.revision, revisions);
  const changes = fresh.map(({ at }) => writes[at]!);
  const versions = fresh.filter(({ at }) => writes[at] === "configuration")
    .map(({ revision }) => replayWrites(writes, revision).version);
  return {
    ...known,
    revision: Math.max(known.revision, writes.length),
    version: Math.max(known.version, ...versions),
    isServerLeaving: known.isServerLeaving || changes.includes("leaving"),
  };
}

function mergeViews(
  position: StorePosition,
  first: SpecView,
  second: SpecView,
): SpecView {
  return {
    era: position.era,
    revision: position.revision,
    version: Math.max(first.version, second.version),
    isServerLeaving: first.isServerLeaving || second.isServerLeaving,
  };
}

function coversState(
  view: SpecView,
  written: WrittenState,
): boolean {
  return view.version >= written.version &&
    (view.isServerLeaving || !written.isServerLeaving);
}
