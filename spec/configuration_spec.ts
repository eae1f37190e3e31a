import { compareSequence } from "../resources/mod.ts";
import {
  type Mutant,
  parseEvent,
  replaceAt,
  type SpecEvent,
  type Specification,
} from "./specification.ts";

/** One instance. */
interface SpecInstance {
  /** Numbers of the changes in force, in order. */
  readonly applied: readonly number[];
  /** Highest number of changes in force at the same time since its start. */
  readonly highestCount: number;
  readonly isUp: boolean;
}

interface ConfigurationSpecState {
  /** Log in the store: the change at each position. */
  readonly log: readonly number[];
  readonly instances: readonly SpecInstance[];
  /** The first change that was accepted for each position. */
  readonly accepted: readonly number[];
  /** Entries that were sent to peers; each can arrive at any time, and any number of times. */
  readonly sent: readonly (readonly [sequence: number, change: number])[];
  readonly nextChange: number;
  readonly restoreCount: number;
  readonly restartCount: number;
}

interface ConfigurationFaults {
  readonly appliesStaleEntries?: boolean;
  readonly appliesAcrossGap?: boolean;
  readonly overwritesLog?: boolean;
  readonly acceptsWhileBehind?: boolean;
}

const INSTANCE_COUNT = 3;
const MAX_CHANGES = 3;

/** Configuration revisions: three instances, concurrent operators and a restore of the store. */
export const CONFIGURATION_SPEC = createConfigurationSpec({});

/** Faults of the configuration protocol; the model checker must detect each. */
export const CONFIGURATION_MUTANTS: readonly Mutant[] = [
  {
    name: "apply an entry without comparing revisions",
    specification: createConfigurationSpec({ appliesStaleEntries: true }),
  },
  {
    name: "apply an entry across a gap",
    specification: createConfigurationSpec({ appliesAcrossGap: true }),
  },
  {
    name: "append to the log without compare-and-swap",
    specification: createConfigurationSpec({ overwritesLog: true }),
  },
  {
    name: "accept a change while peers are ahead, after a restore",
    specification: createConfigurationSpec({ acceptsWhileBehind: true }),
  },
];

function createConfigurationSpec(
  faults: ConfigurationFaults,
): Specification<ConfigurationSpecState> {
  return {
    name: "configuration",
    initial: {
      log: [],
      instances: Array.from(
        { length: INSTANCE_COUNT },
        () => ({ applied: [], highestCount: 0, isUp: true }),
      ),
      accepted: [],
      sent: [],
      nextChange: 1,
      restoreCount: 0,
      restartCount: 0,
    },
    listEvents: (state) => listEvents(state, faults),
    apply: (state, event) => applyEvent(state, event, faults),
    invariants: [
      {
        text: "the configuration in force never reverts to an older one",
        holds: ({ instances }) =>
          instances.every(({ applied, highestCount }) =>
            applied.length >= highestCount
          ),
      },
      {
        text: "every instance has the accepted changes in force, in order",
        holds: ({ instances, accepted }) =>
          instances.every(({ applied }) =>
            applied.every((change, index) => accepted[index] === change)
          ),
      },
    ],
  };
}

function listEvents(
  state: ConfigurationSpecState,
  faults: ConfigurationFaults,
): readonly SpecEvent[] {
  const instanceEvents = state.instances.flatMap((instance, index) => {
    if (!instance.isUp) return [{ type: `start(${index})` }];
    const maxCount = Math.max(
      ...state.instances.map(({ applied }) => applied.length),
    );
    const canAccept = faults.acceptsWhileBehind ||
      instance.applied.length === maxCount;
    const deliveries = state.sent.map((_, at) => ({
      type: `deliver(${index},${at})`,
    }));
    return [
      ...deliveries,
      { type: `watch(${index})` },
      ...(state.nextChange <= MAX_CHANGES && canAccept
        ? [{ type: `accept(${index})` }]
        : []),
      ...(state.restartCount < 1 && isKnownWithoutInstance(state, index)
        ? [{ type: `stop(${index})` }]
        : []),
      ...(instance.applied.length > state.log.length
        ? [{ type: `repair(${index})` }]
        : []),
    ];
  });
  const restoreEvents = state.restoreCount < 1 && isKnownToInstances(state)
    ? state.log.map((_, length) => ({ type: `restore(${length})` }))
    : [];
  return [...instanceEvents, ...restoreEvents];
}

function applyEvent(
  state: ConfigurationSpecState,
  event: SpecEvent,
  faults: ConfigurationFaults,
): ConfigurationSpecState {
  const { name, numbers } = parseEvent(event);
  const index = numbers[0] ?? 0;
  const instance = state.instances[index]!;
  const withInstance = (changed: SpecInstance): ConfigurationSpecState => ({
    ...state,
    instances: replaceAt(state.instances, index, changed),
  });
  switch (name) {
    case "deliver": {
      const [sequence, change] = state.sent[numbers[1]!]!;
      return withInstance(applyEntry(instance, sequence, change, faults));
    }
    case "watch":
      return withInstance(state.log.reduce(
        (updated, change, at) => applyEntry(updated, at + 1, change, {}),
        instance,
      ));
    case "accept":
      return accept(state, index, faults);
    case "stop":
      return {
        ...withInstance({ applied: [], highestCount: 0, isUp: false }),
        restartCount: state.restartCount + 1,
      };
    case "start": {
      // An instance is ready when it has read the store and a peer; it uses the longer log.
      const sources = [
        state.log,
        ...state.instances.map(({ applied }) => applied),
      ];
      const applied = sources.toSorted((a, b) => b.length - a.length)[0]!;
      return withInstance({
        applied,
        highestCount: applied.length,
        isUp: true,
      });
    }
    case "repair": {
      const position = state.log.length;
      return { ...state, log: [...state.log, instance.applied[position]!] };
    }
    case "restore":
      return {
        ...state,
        log: state.log.slice(0, index),
        restoreCount: state.restoreCount + 1,
      };
    default:
      throw new Error(`Cannot apply event: got ${event.type}`);
  }
}

/** Applies a log entry if the production code's comparison of sequences allows it. */
function applyEntry(
  instance: SpecInstance,
  sequence: number,
  change: number,
  faults: ConfigurationFaults,
): SpecInstance {
  const order = compareSequence(instance.applied.length, sequence);
  const isApplied = order.kind === "next" ||
    (order.kind === "stale" && faults.appliesStaleEntries === true) ||
    (order.kind === "gap" && faults.appliesAcrossGap === true);
  if (!isApplied) return instance;
  const applied = faults.appliesAcrossGap
    ? [...instance.applied, change]
    : [...instance.applied.slice(0, sequence - 1), change];
  return {
    ...instance,
    applied,
    highestCount: Math.max(instance.highestCount, applied.length),
  };
}

/**
 * Appends a change after those in force at the instance, by creating the key of its
 * position. If the key exists, the instance applies the existing entry instead.
 */
function accept(
  state: ConfigurationSpecState,
  index: number,
  faults: ConfigurationFaults,
): ConfigurationSpecState {
  const instance = state.instances[index]!;
  const position = instance.applied.length;
  const isPositionTaken = state.log[position] !== undefined &&
    !faults.overwritesLog;
  if (isPositionTaken) {
    const changed = applyEntry(
      instance,
      position + 1,
      state.log[position]!,
      {},
    );
    return { ...state, instances: replaceAt(state.instances, index, changed) };
  }
  const change = state.nextChange;
  // The repair writes back earlier entries that the store lost in a restore.
  const log = position > state.log.length ? [...instance.applied, change] : [
    ...state.log.slice(0, position),
    change,
    ...state.log.slice(position + 1),
  ];
  const accepted = [...state.accepted];
  accepted[position] ??= change;
  const changed = applyEntry(instance, position + 1, change, {});
  return {
    ...state,
    log,
    accepted,
    instances: replaceAt(state.instances, index, changed),
    sent: [...state.sent, [position + 1, change]],
    nextChange: change + 1,
  };
}

/**
 * Returns whether a running instance has every accepted change in force. The
 * specification assumes that a restore of the store does not coincide with the
 * loss of all such instances.
 */
function isKnownToInstances(
  { accepted, instances }: ConfigurationSpecState,
): boolean {
  return instances.some(({ applied, isUp }) =>
    isUp && applied.length >= accepted.length
  );
}

/** Returns whether another instance is up and no accepted change is lost when one instance stops. */
function isKnownWithoutInstance(
  state: ConfigurationSpecState,
  index: number,
): boolean {
  const others = state.instances.filter((instance, at) =>
    at !== index && instance.isUp
  );
  const knownCount = Math.max(
    state.log.length,
    ...others.map(({ applied }) => applied.length),
  );
  return others.length > 0 && knownCount >= state.accepted.length;
}
