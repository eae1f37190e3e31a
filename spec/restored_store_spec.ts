import { mayReplace, pickFresh } from "../state/mod.ts";
import type { StorePosition } from "../store/mod.ts";
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

/** What an instance has in force, and up to where it knows the store. */
interface SpecView extends WrittenState, StorePosition {}

interface RestoredStoreState {
  readonly era: number;
  /** Writes in the store, the first at revision 1 of the era. */
  readonly writes: readonly SpecWrite[];
  /** Writes that the store lost, in order, and that are to be written again. */
  readonly lost: readonly SpecWrite[];
  readonly instances: readonly FollowingInstance<SpecView>[];
  /** Full reads and peers' copies on their way; each may arrive at any time, or again. */
  readonly copies: readonly SpecView[];
  /** Whether an instance passed over something that the store told it. */
  readonly hasPassedOver: boolean;
}

interface RestoredStoreFaults {
  /** Revisions are compared whatever their eras are. */
  readonly comparesRevisionsOnly?: boolean;
  /** What a store lost is dropped at once. */
  readonly forgetsLostWrites?: boolean;
}

const INSTANCES = 2;
const MAX_WRITES = 3;
const MAX_ERAS = 1;
/** More at a time have too many states; one that was dropped makes room for another. */
const MAX_COPIES = 1;
const START_VIEW: SpecView = {
  era: 0,
  revision: 0,
  version: 0,
  isServerLeaving: false,
};

/** A store that comes back from older copies of itself, and two instances that follow it. */
export const RESTORED_STORE_SPEC = createSpec({});

/** Faults of following such a store that must be found. */
export const RESTORED_STORE_MUTANTS: readonly Mutant[] = [
  {
    name: "compare revisions of different eras",
    specification: createSpec({ comparesRevisionsOnly: true }),
  },
  {
    name: "drop what the store lost",
    specification: createSpec({ forgetsLostWrites: true }),
  },
];

function createSpec(
  faults: RestoredStoreFaults,
): Specification<RestoredStoreState> {
  return {
    name: "restored store",
    initial: {
      era: 0,
      writes: [],
      lost: [],
      instances: Array.from({ length: INSTANCES }, () => ({
        view: START_VIEW,
        highestVersion: 0,
        hasSeenLeaving: false,
      })),
      copies: [],
      hasPassedOver: false,
    },
    listEvents,
    apply: (state, event) => applyEvent(state, event, faults),
    invariants: [
      ...FOLLOWING_INVARIANTS,
      {
        text: "what the store tells of in its present era is in force",
        holds: ({ hasPassedOver }) => !hasPassedOver,
      },
    ],
  };
}

function listEvents(state: RestoredStoreState): readonly SpecEvent[] {
  const { copies, era, instances, lost, writes } = state;
  const hasLeft = [...writes, ...lost].includes("leaving");
  const mayWrite = writes.length + lost.length < MAX_WRITES;
  const mayCopy = copies.length < MAX_COPIES;
  return [
    ...(mayWrite ? [{ type: "configure" }] : []),
    ...(mayWrite && !hasLeft ? [{ type: "leave" }] : []),
    ...(lost.length > 0 ? [{ type: "write-again" }] : []),
    ...(era < MAX_ERAS
      ? writes.map((_, upTo) => ({ type: `restore(${upTo})` }))
      : []),
    ...(mayCopy ? [{ type: "read" }] : [{ type: "drop" }]),
    ...instances.flatMap((_, index) => [
      ...copies.map((_, at) => ({ type: `take(${index},${at})` })),
      ...(mayCopy ? [{ type: `copy(${index})` }] : []),
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
  const [index = 0, at = 0] = numbers;
  const { copies, era, instances, lost, writes } = state;
  const withView = (view: SpecView): RestoredStoreState => ({
    ...state,
    instances: replaceAt(
      instances,
      index,
      enforceView(instances[index]!, view),
    ),
  });
  switch (name) {
    case "configure":
      return { ...state, writes: [...writes, "configuration"] };
    case "leave":
      return { ...state, writes: [...writes, "leaving"] };
    case "write-again":
      return { ...state, writes: [...writes, lost[0]!], lost: lost.slice(1) };
    case "restore":
      return {
        ...state,
        era: era + 1,
        writes: writes.slice(0, index),
        lost: [...writes.slice(index), ...lost],
      };
    case "read": {
      const all = { era, revision: writes.length };
      return {
        ...state,
        copies: [...copies, { ...all, ...readWrites(writes, all.revision) }],
      };
    }
    case "drop":
      return { ...state, copies: [] };
    case "copy":
      return { ...state, copies: [...copies, instances[index]!.view] };
    case "take":
      return withView(takeCopy(instances[index]!.view, copies[at]!, faults));
    case "watch": {
      const instance = instances[index]!;
      const isAnother = instance.view.era !== era;
      // Its answer says that it is of another era: all is read first.
      if (isAnother && !faults.comparesRevisionsOnly) return state;
      const view = watch(state, instance.view);
      const told = readWrites(writes, writes.length);
      return { ...withView(view), hasPassedOver: !includes(view, told) };
    }
    default:
      throw new Error(`Unknown event ${event.type}`);
  }
}

/** Takes a full read or a copy; what is known of lost writes stays. */
function takeCopy(
  known: SpecView,
  copy: SpecView,
  faults: RestoredStoreFaults,
): SpecView {
  const isTaken = faults.comparesRevisionsOnly
    ? mayReplace({ ...known, era: 0 }, { ...copy, era: 0 })
    : mayReplace(known, copy);
  if (!isTaken) return keepNewest(known, known, copy);
  return faults.forgetsLostWrites ? copy : keepNewest(copy, known, copy);
}

/** Takes the changes after what is known. */
function watch({ writes }: RestoredStoreState, known: SpecView): SpecView {
  const revisions = writes.map((_, at) => ({ at, revision: at + 1 }));
  const fresh = pickFresh(known.revision, revisions);
  const changes = fresh.map(({ at }) => writes[at]!);
  const versions = fresh.filter(({ at }) => writes[at] === "configuration")
    .map(({ revision }) => readWrites(writes, revision).version);
  return {
    ...known,
    revision: Math.max(known.revision, writes.length),
    version: Math.max(known.version, ...versions),
    isServerLeaving: known.isServerLeaving || changes.includes("leaving"),
  };
}

function keepNewest(
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

function includes(
  view: SpecView,
  written: WrittenState,
): boolean {
  return view.version >= written.version &&
    (view.isServerLeaving || !written.isServerLeaving);
}
