import { compareSequence } from "../resources/mod.ts";
import {
  type Mutant,
  parseEvent,
  replaceAt,
  type SpecEvent,
  type Specification,
} from "./specification.ts";

/** One daemon: the changes in force, as numbers, in order. */
interface SpecDaemon {
  readonly applied: readonly number[];
  /** Most changes that were ever in force since its start. */
  readonly highest: number;
  readonly isUp: boolean;
}

interface ConfigurationSpecState {
  /** The log in the store: the change at each place. */
  readonly log: readonly number[];
  readonly daemons: readonly SpecDaemon[];
  /** Changes that were accepted: the one that belongs at each place. */
  readonly accepted: readonly number[];
  /** Entries that were sent to peers and may arrive at any time, any number of times. */
  readonly sent: readonly (readonly [sequence: number, change: number])[];
  readonly nextChange: number;
  readonly restores: number;
  readonly restarts: number;
}

interface ConfigurationFaults {
  readonly appliesOlder?: boolean;
  readonly appliesAcrossGap?: boolean;
  readonly overwritesLog?: boolean;
  readonly acceptsWhileBehind?: boolean;
}

const DAEMONS = 3;
const MAX_CHANGES = 3;

/** Configuration revisions: two daemons, racing operators, a store that is restored. */
export const CONFIGURATION_SPEC = createConfigurationSpec({});

/** Faults of configuration that must be found. */
export const CONFIGURATION_MUTANTS: readonly Mutant[] = [
  {
    name: "apply without comparing revisions",
    specification: createConfigurationSpec({ appliesOlder: true }),
  },
  {
    name: "apply across a gap",
    specification: createConfigurationSpec({ appliesAcrossGap: true }),
  },
  {
    name: "append without compare-and-swap",
    specification: createConfigurationSpec({ overwritesLog: true }),
  },
  {
    name: "accept while peers are ahead, after a restore",
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
      daemons: Array.from(
        { length: DAEMONS },
        () => ({ applied: [], highest: 0, isUp: true }),
      ),
      accepted: [],
      sent: [],
      nextChange: 1,
      restores: 0,
      restarts: 0,
    },
    listEvents: (state) => listEvents(state, faults),
    apply: (state, event) => applyEvent(state, event, faults),
    invariants: [
      {
        text: "what is in force never reverts to something older",
        holds: ({ daemons }) =>
          daemons.every(({ applied, highest }) => applied.length >= highest),
      },
      {
        text:
          "what is in force is what was accepted, at every daemon, in order",
        holds: ({ daemons, accepted }) =>
          daemons.every(({ applied }) =>
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
  const ofDaemons = state.daemons.flatMap((daemon, index) => {
    if (!daemon.isUp) return [{ type: `start(${index})` }];
    const newest = Math.max(
      ...state.daemons.map(({ applied }) => applied.length),
    );
    const mayAccept = faults.acceptsWhileBehind ||
      daemon.applied.length === newest;
    const deliveries = state.sent.map((_, at) => ({
      type: `deliver(${index},${at})`,
    }));
    return [
      ...deliveries,
      { type: `watch(${index})` },
      ...(state.nextChange <= MAX_CHANGES && mayAccept
        ? [{ type: `accept(${index})` }]
        : []),
      ...(state.restarts < 1 && isKnownWithout(state, index)
        ? [{ type: `stop(${index})` }]
        : []),
      ...(daemon.applied.length > state.log.length
        ? [{ type: `repair(${index})` }]
        : []),
    ];
  });
  const restores = state.restores < 1 && isKnownToDaemons(state)
    ? state.log.map((_, length) => ({ type: `restore(${length})` }))
    : [];
  return [...ofDaemons, ...restores];
}

function applyEvent(
  state: ConfigurationSpecState,
  event: SpecEvent,
  faults: ConfigurationFaults,
): ConfigurationSpecState {
  const { name, numbers } = parseEvent(event);
  const index = numbers[0] ?? 0;
  const daemon = state.daemons[index]!;
  const set = (changed: SpecDaemon): ConfigurationSpecState => ({
    ...state,
    daemons: replaceAt(state.daemons, index, changed),
  });
  switch (name) {
    case "deliver": {
      const [sequence, change] = state.sent[numbers[1]!]!;
      return set(applyOne(daemon, sequence, change, faults));
    }
    case "watch":
      return set(state.log.reduce(
        (known, change, at) => applyOne(known, at + 1, change, {}),
        daemon,
      ));
    case "accept":
      return accept(state, index, faults);
    case "stop":
      return {
        ...set({ applied: [], highest: 0, isUp: false }),
        restarts: state.restarts + 1,
      };
    case "start": {
      // A daemon is ready when it has read the store and a peer, whichever is further.
      const sources = [
        state.log,
        ...state.daemons.map(({ applied }) => applied),
      ];
      const applied = sources.toSorted((a, b) => b.length - a.length)[0]!;
      return set({ applied, highest: applied.length, isUp: true });
    }
    case "repair": {
      const place = state.log.length;
      return { ...state, log: [...state.log, daemon.applied[place]!] };
    }
    case "restore":
      return {
        ...state,
        log: state.log.slice(0, index),
        restores: state.restores + 1,
      };
    default:
      throw new Error(`Cannot apply event: got ${event.type}`);
  }
}

/** The apply point, with the comparison of the product. */
function applyOne(
  daemon: SpecDaemon,
  sequence: number,
  change: number,
  faults: ConfigurationFaults,
): SpecDaemon {
  const order = compareSequence(daemon.applied.length, sequence);
  const isApplied = order.kind === "next" ||
    (order.kind === "stale" && faults.appliesOlder === true) ||
    (order.kind === "gap" && faults.appliesAcrossGap === true);
  if (!isApplied) return daemon;
  const applied = faults.appliesAcrossGap
    ? [...daemon.applied, change]
    : [...daemon.applied.slice(0, sequence - 1), change];
  return {
    ...daemon,
    applied,
    highest: Math.max(daemon.highest, applied.length),
  };
}

/** Appends at the next place after what is in force here, by creating its key. */
function accept(
  state: ConfigurationSpecState,
  index: number,
  faults: ConfigurationFaults,
): ConfigurationSpecState {
  const daemon = state.daemons[index]!;
  const place = daemon.applied.length;
  const isTaken = state.log[place] !== undefined && !faults.overwritesLog;
  if (isTaken) {
    const changed = applyOne(daemon, place + 1, state.log[place]!, {});
    return { ...state, daemons: replaceAt(state.daemons, index, changed) };
  }
  const change = state.nextChange;
  // Entries before it that the store lacks after a restore are written back by the repair.
  const log = place > state.log.length
    ? [...daemon.applied, change]
    : [...state.log.slice(0, place), change, ...state.log.slice(place + 1)];
  const accepted = [...state.accepted];
  accepted[place] ??= change;
  const changed = applyOne(daemon, place + 1, change, {});
  return {
    ...state,
    log,
    accepted,
    daemons: replaceAt(state.daemons, index, changed),
    sent: [...state.sent, [place + 1, change]],
    nextChange: change + 1,
  };
}

/**
 * The assumption of the specification: a restore of the store does not come
 * together with the loss of every daemon that has a change in force.
 */
function isKnownToDaemons(
  { accepted, daemons }: ConfigurationSpecState,
): boolean {
  return daemons.some(({ applied, isUp }) =>
    isUp && applied.length >= accepted.length
  );
}

function isKnownWithout(state: ConfigurationSpecState, index: number): boolean {
  const others = state.daemons.filter((daemon, at) =>
    at !== index && daemon.isUp
  );
  const known = Math.max(
    state.log.length,
    ...others.map(({ applied }) => applied.length),
  );
  return others.length > 0 && known >= state.accepted.length;
}
