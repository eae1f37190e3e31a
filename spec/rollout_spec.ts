import {
  toBackendId,
  toRegionId,
  toRolloutId,
  toServerVersion,
} from "../ids/mod.ts";
import {
  isFinal,
  isLaterRecord,
  isSameOrder,
  planRecord,
  type RolloutOrder,
  type RolloutPhase,
  type RolloutRecord,
} from "../rollouts/mod.ts";
import {
  type Mutant,
  parseEvent,
  replaceAt,
  type SpecEvent,
  type Specification,
} from "./specification.ts";

/** A compare-and-swap that was sent; it may be executed much later. */
interface SpecWrite {
  readonly phase: RolloutPhase;
  /** Revision of the record that the writer had read. */
  readonly expected: number;
}

/** One instance; both are relays. */
interface SpecInstance {
  /** Phase that it remembers; `null` if it has read no record since its start. */
  readonly phase: RolloutPhase | null;
  /** Revision of the record that it read last. */
  readonly revision: number;
  /** Whether the store's record is the one that it remembers. */
  readonly isStored: boolean;
  readonly isBad: boolean;
  /** Whether it has found or heard that the version is bad since its start. */
  readonly hasFound: boolean;
  /** Whether it has reported that it sends nothing more to old servers. */
  readonly hasLeft: boolean;
  readonly oldCalls: number;
  /** Whether the other one has reported that it has left. */
  readonly hasHeardLeft: boolean;
  readonly write: SpecWrite | null;
}

interface RolloutSpecState {
  readonly stored: RolloutPhase;
  readonly revision: number;
  readonly era: number;
  readonly isOrdered: boolean;
  readonly instances: readonly SpecInstance[];
  readonly crashes: number;
  /** First final decision in the store, and whether another one followed it. */
  readonly decision: RolloutPhase | null;
  readonly hasChangedDecision: boolean;
  /** Whether an instance began a call at the new version that it knew to be bad or withdrawn. */
  readonly hasExposed: boolean;
  /** Whether old servers had a call at `completed` of an instance that had no reason to return. */
  readonly hasCutCalls: boolean;
}

interface RolloutFaults {
  /** Writes are executed whatever was written since. */
  readonly ignoresRevision?: boolean;
  /** What the store holds replaces what is remembered, also after a restore. */
  readonly forgetsLater?: boolean;
  /** An order that is read in a later era counts as another one. */
  readonly renewsOrder?: boolean;
  /** A read of the store clears the finding that the version is bad. */
  readonly clearsBad?: boolean;
  /** `completed` is written without waiting for others. */
  readonly completesEarly?: boolean;
  /** A stream is resumed at an old server after the instance reported that it had left. */
  readonly returnsToOld?: boolean;
  /** An order that the operator removed is continued. */
  readonly ignoresRemoval?: boolean;
}

const V1 = toServerVersion("v1");
const V2 = toServerVersion("v2");
const DURATION_MS = 12_000;
/** Time after the order at which each phase may end, so that the model needs no clock. */
const RIPE_MS = 7_000;
const MAX_CRASHES = 1;
const BOUNDS = {
  exposureShare: 0.1,
  exposureSlack: 50,
  rollbackMs: 5_000,
  contactMs: 6_000,
};
const SERVERS = [V1, V2].map((version) => ({
  id: toBackendId(version),
  service: "app",
  region: toRegionId("north"),
  version,
  isReady: true,
  coldUntilMs: 0,
}));
const NEW_INSTANCE: SpecInstance = {
  phase: null,
  revision: 0,
  isStored: false,
  isBad: false,
  hasFound: false,
  hasLeft: false,
  oldCalls: 0,
  hasHeardLeft: false,
  write: null,
};

/** Decisions on one order by two instances, with late writes, crashes and a restored store. */
export const ROLLOUT_SPECS = [
  createRolloutSpec("decisions", {}),
  createRolloutSpec("old servers", {}),
];

/** Faults of decisions on rollouts; the model checker must detect each. */
export const ROLLOUT_MUTANTS: readonly Mutant[] = ([
  ["a late write is executed whatever was written since", "decisions", {
    ignoresRevision: true,
  }],
  ["a restored store replaces a later phase that is remembered", "decisions", {
    forgetsLater: true,
  }],
  ["an order read in a later era is tried again", "decisions", {
    renewsOrder: true,
  }],
  ["a read of the store clears the finding of a bad version", "decisions", {
    clearsBad: true,
  }],
  ["an order that was removed is continued", "decisions", {
    ignoresRemoval: true,
  }],
  ["`completed` does not wait for other instances", "old servers", {
    completesEarly: true,
  }],
  [
    "a stream is resumed at old servers after its instance left",
    "old servers",
    {
      returnsToOld: true,
    },
  ],
] as const).map(([name, topic, faults]) => ({
  name,
  specification: createRolloutSpec(topic, faults),
}));

/** Which events a specification has: all of them together have too many states. */
type Topic = "decisions" | "old servers";

function createRolloutSpec(
  topic: Topic,
  faults: RolloutFaults,
): Specification<RolloutSpecState> {
  return {
    name: `rollouts: ${topic}`,
    initial: {
      stored: "trial",
      revision: 1,
      era: 0,
      isOrdered: true,
      instances: [NEW_INSTANCE, NEW_INSTANCE],
      crashes: 0,
      decision: null,
      hasChangedDecision: false,
      hasExposed: false,
      hasCutCalls: false,
    },
    listEvents: (state) => listEvents(state, topic, faults),
    apply: (state, event) => applyEvent(state, event, faults),
    invariants: [
      {
        text: "a final decision on an order is never replaced by another one",
        holds: ({ hasChangedDecision }) => !hasChangedDecision,
      },
      {
        text:
          "an instance begins no call at a version that it knows to be bad or withdrawn",
        holds: ({ hasExposed }) => !hasExposed,
      },
      {
        text:
          "at `completed`, old servers have no calls, unless the version is found bad or the order removed",
        holds: ({ hasCutCalls }) => !hasCutCalls,
      },
    ],
  };
}

function listEvents(
  state: RolloutSpecState,
  topic: Topic,
  faults: RolloutFaults,
): readonly SpecEvent[] {
  const { crashes, era, instances, stored } = state;
  const hasCalls = topic === "old servers";
  const mayCrash = crashes < MAX_CRASHES && era === 0;
  const own = instances.flatMap((instance, index) => {
    const events = [`read(${index})`];
    if (instance.write !== null) events.push(`execute(${index})`);
    if (instance.write === null && plan(state, instance, faults) !== null) {
      events.push(`plan(${index})`);
    }
    if (instance.phase !== null && !isFinal(instance.phase)) {
      if (!instance.isBad) events.push(`find(${index})`);
      events.push(`report(${index})`);
    }
    if (hasCalls && maySendOld(state, instance, faults)) {
      events.push(`sendOld(${index})`);
    }
    if (instance.oldCalls > 0) events.push(`end(${index})`);
    if (maySendNew(state, instance, faults)) events.push(`sendNew(${index})`);
    if (mayCrash && (!hasCalls || index === 1)) events.push(`crash(${index})`);
    return events;
  });
  // A decision that no instance remembers cannot survive a restore.
  const isRemembered = instances.every(({ phase }) => phase === stored);
  return [
    ...own,
    ...(state.isOrdered && !hasCalls ? ["remove"] : []),
    ...(!hasCalls && era === 0 && isFinal(stored) && isRemembered
      ? ["restore"]
      : []),
  ].map((type) => ({ type }));
}

function applyEvent(
  state: RolloutSpecState,
  event: SpecEvent,
  faults: RolloutFaults,
): RolloutSpecState {
  const { name, numbers } = parseEvent(event);
  const [index = 0] = numbers;
  const instance = state.instances[index]!;
  const update = (changes: Partial<SpecInstance>): RolloutSpecState => ({
    ...state,
    instances: replaceAt(state.instances, index, { ...instance, ...changes }),
  });
  switch (name) {
    case "read":
      return update(readStore(state, instance, faults));
    case "plan": {
      const phase = plan(state, instance, faults)!;
      const write = { phase, expected: instance.revision };
      // A relay that completes is bound by it before the write is executed.
      const hasLeft = instance.hasLeft || phase === "completed";
      return update({ write, hasLeft });
    }
    case "execute":
      return executeWrite(update({ write: null }), instance.write!, faults);
    case "find":
      return update({ isBad: true, hasFound: true });
    case "report":
      return report(state, index);
    case "sendOld":
      return update({ oldCalls: 1 });
    case "end":
      return update({ oldCalls: 0 });
    case "sendNew": {
      const isExposed = instance.phase !== "completed" &&
        (!state.isOrdered || instance.hasFound);
      return { ...state, hasExposed: state.hasExposed || isExposed };
    }
    case "crash":
      return { ...update(NEW_INSTANCE), crashes: state.crashes + 1 };
    case "remove":
      return { ...state, isOrdered: false };
    case "restore":
      return {
        ...state,
        era: 1,
        stored: "trial",
        revision: state.revision + 1,
        instances: state.instances.map((each) => ({ ...each, write: null })),
      };
    default:
      throw new Error(`Cannot apply event: got ${event.type}`);
  }
}

/** Returns what an instance knows after it has read the store, by the production code. */
function readStore(
  { revision, stored }: RolloutSpecState,
  { hasLeft, isBad, phase }: SpecInstance,
  { clearsBad, forgetsLater }: RolloutFaults,
): Partial<SpecInstance> {
  const isLater = phase === null || forgetsLater ||
    isLaterRecord(toRecord(stored), toRecord(phase));
  const remembered = isLater ? stored : phase;
  return {
    phase: remembered,
    revision,
    isStored: remembered === stored,
    isBad: isBad && !clearsBad,
    // After a start in the switch, there is nothing left to end at old servers.
    hasLeft: hasLeft || (phase === null && stored === "switch"),
  };
}

/** Returns the phase that an instance would write, by the production code. */
function plan(
  { era, isOrdered }: RolloutSpecState,
  { hasHeardLeft, isBad, isStored, oldCalls, phase }: SpecInstance,
  { completesEarly, ignoresRemoval, renewsOrder }: RolloutFaults,
): RolloutPhase | null {
  if (phase === null) return null;
  if (!isStored) return phase;
  const order = isOrdered || ignoresRemoval ? toOrder(era) : undefined;
  const record = toRecord(phase);
  if (
    renewsOrder && order !== undefined && order.id !== record.order!.id
  ) {
    return "trial";
  }
  const isSettled = completesEarly || hasHeardLeft;
  const next = planRecord({
    record,
    order,
    servers: SERVERS,
    verdict: { isCovered: true, isSuspicious: false, suspects: [] },
    badReason: isBad && !isFinal(phase) ? "bad" : undefined,
    isSettled: isSettled && oldCalls === 0,
    needsOwnServers: () => false,
    areActiveGone: false,
    bounds: BOUNDS,
    nowMs: RIPE_MS,
  });
  return next?.order?.phase ?? null;
}

function executeWrite(
  state: RolloutSpecState,
  { expected, phase }: SpecWrite,
  { ignoresRevision }: RolloutFaults,
): RolloutSpecState {
  if (expected !== state.revision && !ignoresRevision) return state;
  const isDecision = isFinal(phase);
  const hasChangedDecision = state.hasChangedDecision ||
    (state.decision !== null && phase !== state.decision);
  const hasCutCalls = phase === "completed" && state.isOrdered &&
    state.instances.some(({ isBad, oldCalls }) => !isBad && oldCalls > 0);
  return {
    ...state,
    stored: phase,
    revision: state.revision + 1,
    decision: state.decision ?? (isDecision ? phase : null),
    hasChangedDecision,
    hasCutCalls: state.hasCutCalls || hasCutCalls,
  };
}

/** The other instance receives a report: a finding, or that this one has left old servers. */
function report(
  state: RolloutSpecState,
  index: number,
): RolloutSpecState {
  const instance = state.instances[index]!;
  const other = 1 - index;
  const isLeaving = instance.phase === "switch" && !instance.isBad &&
    instance.oldCalls === 0;
  const receiver = state.instances[other]!;
  const told = replaceAt(state.instances, other, {
    ...receiver,
    isBad: receiver.isBad || instance.isBad,
    hasFound: receiver.hasFound || instance.isBad,
    hasHeardLeft: isLeaving || (receiver.hasHeardLeft && !instance.isBad),
  });
  const hasLeft = instance.hasLeft || isLeaving;
  const instances = replaceAt(told, index, { ...instance, hasLeft });
  return { ...state, instances };
}

/** Returns whether an instance may send to old servers: also resumed streams in the switch. */
function maySendOld(
  { isOrdered }: RolloutSpecState,
  { hasLeft, isBad, oldCalls, phase }: SpecInstance,
  { returnsToOld }: RolloutFaults,
): boolean {
  if (oldCalls > 0 || phase === null || phase === "completed") return false;
  return phase !== "switch" || isBad || !isOrdered || !hasLeft ||
    returnsToOld === true;
}

/** Returns whether an instance sends to the new version, as `readStage` decides it. */
function maySendNew(
  { era, isOrdered }: RolloutSpecState,
  { isBad, phase }: SpecInstance,
  { ignoresRemoval }: RolloutFaults,
): boolean {
  if (phase === null || phase === "rolled-back") return false;
  if (phase === "completed") return true;
  const isSame = isSameOrder(toOrder(era), toRecord(phase).order!);
  return !isBad && isSame && (isOrdered || ignoresRemoval === true);
}

function toOrder(era: number): RolloutOrder {
  return {
    id: toRolloutId(`${era}.10`),
    service: "app",
    destination: V2,
    durationMs: DURATION_MS,
  };
}

function toRecord(phase: RolloutPhase): RolloutRecord {
  const { destination, durationMs, id } = toOrder(0);
  return {
    service: "app",
    inForce: phase === "completed" ? [V2] : [V1],
    order: {
      id,
      destination,
      durationMs,
      startedMs: 0,
      phaseSinceMs: 0,
      phase,
    },
  };
}
