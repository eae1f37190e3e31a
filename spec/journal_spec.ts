import {
  type Incarnation,
  toAttemptId,
  toIncarnation,
  toRunKey,
  toTeamId,
} from "../ids/mod.ts";
import {
  applyEnd,
  decideBegin,
  type Run,
  type RunEnd,
  type RunRecord,
} from "../run_journal/mod.ts";
import {
  type Mutant,
  parseEvent,
  replaceAt,
  type SpecEvent,
  type Specification,
} from "./specification.ts";

/** Where an attempt is. */
type Phase =
  | "idle"
  /** It has read the journal and may write. */
  | "ready"
  /** Its write is out. */
  | "sent"
  /** The answer to its write is lost. */
  | "uncertain"
  | "granted"
  | "dispatched"
  /** Its caller was told that it did not run. */
  | "refused"
  | "done"
  /** Its caller was told something else. */
  | "told"
  /** Its instance has died. */
  | "dead";

interface Attempt {
  readonly phase: Phase;
  /** Revision that its write expects. */
  readonly expected: number;
  /** Whether its write is still on its way to the store. */
  readonly isInFlight: boolean;
  /** Answer of the store that is on its way back. */
  readonly answer: "none" | "written" | "conflict";
  readonly writes: number;
  readonly wasRefused: boolean;
}

interface JournalState {
  readonly revision: number;
  readonly record: RunRecord | null;
  readonly attempts: readonly Attempt[];
  readonly runs: number;
  readonly isStoreDown: boolean;
  readonly outages: number;
  readonly otherWrites: number;
}

/** Faults that can be put into the protocol. */
interface JournalFaults {
  readonly dispatchesBeforeKnown?: boolean;
  readonly trustsLostAnswer?: boolean;
  readonly rerunsUnknown?: boolean;
  readonly ignoresRevision?: boolean;
  readonly refusesAfterDispatch?: boolean;
}

const ATTEMPTS = 2;
const MAX_WRITES = 2;
const KEY = toRunKey(toTeamId("team"), "key");
const IDLE: Attempt = {
  phase: "idle",
  expected: 0,
  isInFlight: false,
  answer: "none",
  writes: 0,
  wasRefused: false,
};

/** The run journal: two attempts under one key, through two instances. */
export const JOURNAL_SPEC = createJournalSpec({});

/** Faults of the run journal that must be found. */
export const JOURNAL_MUTANTS: readonly Mutant[] = [
  {
    name: "dispatch before the write is known",
    specification: createJournalSpec({ dispatchesBeforeKnown: true }),
  },
  {
    name: "take a lost answer for a success",
    specification: createJournalSpec({ trustsLostAnswer: true }),
  },
  {
    name: "run again what may have run",
    specification: createJournalSpec({ rerunsUnknown: true }),
  },
  {
    name: "write without comparing the revision",
    specification: createJournalSpec({ ignoresRevision: true }),
  },
  {
    name: "say not-run after the dispatch",
    specification: createJournalSpec({ refusesAfterDispatch: true }),
  },
];

function createJournalSpec(faults: JournalFaults): Specification<JournalState> {
  return {
    name: "run journal",
    initial: {
      revision: 0,
      record: null,
      attempts: Array.from({ length: ATTEMPTS }, () => IDLE),
      runs: 0,
      isStoreDown: false,
      outages: 0,
      otherWrites: 0,
    },
    listEvents: (state) => listEvents(state, faults),
    apply: (state, event) => applyEvent(state, event, faults),
    invariants: [
      {
        text: "a non-idempotent run happens at most once",
        holds: ({ runs }) => runs <= 1,
      },
      {
        text: "what was refused as not-run truly did not run",
        holds: ({ attempts }) =>
          attempts.every(({ wasRefused, phase }) =>
            !wasRefused || (phase !== "dispatched" && phase !== "done")
          ),
      },
      {
        text: "what has run is known, or may have run, to the journal",
        holds: ({ runs, record }) => runs === 0 || record !== null,
      },
    ],
  };
}

function listEvents(
  state: JournalState,
  faults: JournalFaults,
): readonly SpecEvent[] {
  const ofAttempts = state.attempts.flatMap((attempt, index) =>
    listOfAttempt(state, attempt, faults).map((name) => ({
      type: `${name}(${index})`,
    }))
  );
  const outage = state.isStoreDown
    ? [{ type: "storeUp" }]
    : state.outages < 1
    ? [{ type: "storeDown" }]
    : [];
  const other = !state.isStoreDown && state.otherWrites < 1
    ? [{ type: "otherWrite" }]
    : [];
  return [...ofAttempts, ...outage, ...other];
}

function listOfAttempt(
  state: JournalState,
  attempt: Attempt,
  faults: JournalFaults,
): readonly string[] {
  const isUp = !state.isStoreDown;
  const arrive = attempt.isInFlight && isUp ? ["arrive"] : [];
  const die =
    ["dead", "idle", "refused", "told", "done"].includes(attempt.phase)
      ? []
      : ["die"];
  const own = (): readonly string[] => {
    switch (attempt.phase) {
      case "idle":
        return isUp ? ["read"] : ["refuse"];
      case "ready":
        return attempt.writes < MAX_WRITES ? ["send"] : ["refuse"];
      case "sent":
        return [
          ...(attempt.answer === "none" ? [] : ["answer"]),
          "loseAnswer",
          ...(faults.dispatchesBeforeKnown ? ["dispatch"] : []),
        ];
      case "uncertain":
        return [
          ...(isUp ? ["read"] : []),
          "refuse",
          ...(faults.trustsLostAnswer ? ["trust"] : []),
        ];
      case "granted":
        return ["dispatch", ...(isUp ? ["abort"] : [])];
      case "dispatched":
        return [
          ...(isUp ? ["finish"] : []),
          ...(faults.refusesAfterDispatch ? ["abort"] : []),
        ];
      case "refused":
        return isUp && isOwn(state, state.attempts.indexOf(attempt))
          ? ["abortLate"]
          : [];
      case "done":
      case "told":
      case "dead":
        return [];
    }
  };
  return [...own(), ...arrive, ...die];
}

function applyEvent(
  state: JournalState,
  event: SpecEvent,
  faults: JournalFaults,
): JournalState {
  const { name, numbers } = parseEvent(event);
  const index = numbers[0] ?? 0;
  const attempt = state.attempts[index]!;
  const set = (
    changed: Partial<Attempt>,
    rest: Partial<JournalState> = {},
  ): JournalState => ({
    ...state,
    ...rest,
    attempts: replaceAt(state.attempts, index, { ...attempt, ...changed }),
  });
  switch (name) {
    case "storeDown":
      return { ...state, isStoreDown: true, outages: state.outages + 1 };
    case "storeUp":
      return { ...state, isStoreDown: false };
    case "otherWrite":
      return {
        ...state,
        revision: state.revision + 1,
        otherWrites: state.otherWrites + 1,
      };
    case "read":
      return set(decide(state, index, faults));
    case "send":
      return set({
        phase: "sent",
        isInFlight: true,
        answer: "none",
        writes: attempt.writes + 1,
      });
    case "arrive":
      return arrive(state, index, faults);
    case "answer":
      return attempt.answer === "written"
        ? set({ phase: "granted", answer: "none" })
        : set({ phase: "idle", answer: "none" });
    case "loseAnswer":
      return set({ phase: "uncertain", answer: "none" });
    case "trust":
      return set({ phase: "granted" });
    case "refuse":
      return set({ phase: "refused", wasRefused: true });
    case "dispatch":
      return set({ phase: "dispatched" }, { runs: state.runs + 1 });
    case "abort":
      return set(
        { phase: "refused", wasRefused: true },
        end(state, index, { kind: "not-run" }),
      );
    case "abortLate":
      return set({}, end(state, index, { kind: "not-run" }));
    case "finish":
      return set(
        { phase: "done" },
        end(state, index, { kind: "ran", answer: undefined }),
      );
    case "die":
      return set({ phase: "dead" });
    default:
      throw new Error(`Cannot apply event: got ${event.type}`);
  }
}

/** Reads the journal and decides with the code of the product. */
function decide(
  state: JournalState,
  index: number,
  faults: JournalFaults,
): Partial<Attempt> {
  const isGone = (holder: Incarnation) =>
    state.attempts.some(({ phase }, at) =>
      phase === "dead" && toHolder(at) === holder
    );
  const decision = decideBegin(state.record ?? undefined, toRun(index), 0, {
    isGone,
  });
  switch (decision.kind) {
    case "claim":
      return { phase: "ready", expected: state.revision };
    case "granted":
      return { phase: "granted" };
    case "unknown":
      return faults.rerunsUnknown
        ? { phase: "ready", expected: state.revision }
        : { phase: "told" };
    case "kept":
    case "not-kept":
    case "in-progress":
    case "mismatch":
      return { phase: "told" };
  }
}

/** The write reaches the store, perhaps long after its sender gave it up. */
function arrive(
  state: JournalState,
  index: number,
  faults: JournalFaults,
): JournalState {
  const attempt = state.attempts[index]!;
  const matches = attempt.expected === state.revision ||
    faults.ignoresRevision === true;
  const isAwaited = attempt.phase === "sent";
  const changed: Attempt = {
    ...attempt,
    isInFlight: false,
    answer: isAwaited ? (matches ? "written" : "conflict") : "none",
  };
  const attempts = replaceAt(state.attempts, index, changed);
  if (!matches) return { ...state, attempts };
  const record: RunRecord = { ...toRun(index), begunMs: 0, end: undefined };
  return { ...state, attempts, record, revision: state.revision + 1 };
}

function end(
  state: JournalState,
  index: number,
  runEnd: RunEnd,
): Partial<JournalState> {
  const record = applyEnd(
    state.record ?? undefined,
    toRun(index).attempt,
    runEnd,
  );
  return record === undefined ? {} : { record, revision: state.revision + 1 };
}

function isOwn(state: JournalState, index: number): boolean {
  return state.record !== null && state.record.end === undefined &&
    state.record.attempt === toRun(index).attempt;
}

function toHolder(index: number): Incarnation {
  return toIncarnation(`holder-${index}`);
}

function toRun(index: number): Run {
  return {
    key: KEY,
    bodyHash: "hash",
    attempt: toAttemptId(`attempt-${index}`),
    holder: toHolder(index),
    dueMs: 1_000,
  };
}
