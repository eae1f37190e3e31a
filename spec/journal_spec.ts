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

/** Phase of an attempt. */
type Phase =
  | "idle"
  /** It has read the journal and can write its claim. */
  | "ready"
  /** It has sent its write and awaits the answer. */
  | "sent"
  /** The answer to its write is lost, so the result of the write is unknown. */
  | "uncertain"
  | "granted"
  | "dispatched"
  /** Its caller has received not-run. */
  | "refused"
  | "done"
  /** Its caller has received another result of the journal, such as in-progress. */
  | "reported"
  /** Its instance has crashed. */
  | "dead";

interface Attempt {
  readonly phase: Phase;
  /** Revision of the store that its write expects. */
  readonly expectedRevision: number;
  /** Whether its write is in transit to the store. */
  readonly isInFlight: boolean;
  /** Answer of the store that is in transit back to the attempt. */
  readonly answer: "none" | "written" | "conflict";
  readonly writes: number;
  readonly wasRefused: boolean;
}

interface JournalState {
  readonly revision: number;
  readonly record: RunRecord | null;
  readonly attempts: readonly Attempt[];
  /** Number of times that the run was dispatched. */
  readonly runs: number;
  readonly isStoreDown: boolean;
  readonly outages: number;
  readonly otherWrites: number;
}

/** Faults that can be injected into the protocol. */
interface JournalFaults {
  readonly dispatchesBeforeAnswer?: boolean;
  readonly trustsLostAnswer?: boolean;
  readonly rerunsUnknown?: boolean;
  readonly ignoresRevision?: boolean;
  readonly refusesAfterDispatch?: boolean;
}

const ATTEMPT_COUNT = 2;
const MAX_WRITES = 2;
const KEY = toRunKey(toTeamId("team"), "key");
const IDLE_ATTEMPT: Attempt = {
  phase: "idle",
  expectedRevision: 0,
  isInFlight: false,
  answer: "none",
  writes: 0,
  wasRefused: false,
};

/** The run journal, with two attempts under one key at two instances. */
export const JOURNAL_SPEC = createJournalSpec({});

/** Faults of the run journal; the model checker must detect each. */
export const JOURNAL_MUTANTS: readonly Mutant[] = [
  {
    name: "dispatch before the answer to the write",
    specification: createJournalSpec({ dispatchesBeforeAnswer: true }),
  },
  {
    name: "treat a lost answer as a success",
    specification: createJournalSpec({ trustsLostAnswer: true }),
  },
  {
    name: "rerun a run whose outcome is unknown",
    specification: createJournalSpec({ rerunsUnknown: true }),
  },
  {
    name: "write without comparing the revision",
    specification: createJournalSpec({ ignoresRevision: true }),
  },
  {
    name: "answer not-run after the dispatch",
    specification: createJournalSpec({ refusesAfterDispatch: true }),
  },
];

function createJournalSpec(faults: JournalFaults): Specification<JournalState> {
  return {
    name: "run journal",
    initial: {
      revision: 0,
      record: null,
      attempts: Array.from({ length: ATTEMPT_COUNT }, () => IDLE_ATTEMPT),
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
        text: "an attempt that was refused as not-run did not run",
        holds: ({ attempts }) =>
          attempts.every(({ wasRefused, phase }) =>
            !wasRefused || (phase !== "dispatched" && phase !== "done")
          ),
      },
      {
        text: "the journal has a record of every run that was dispatched",
        holds: ({ runs, record }) => runs === 0 || record !== null,
      },
    ],
  };
}

function listEvents(
  state: JournalState,
  faults: JournalFaults,
): readonly SpecEvent[] {
  const attemptEvents = state.attempts.flatMap((attempt, index) =>
    listAttemptEvents(state, attempt, faults).map((name) => ({
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
  return [...attemptEvents, ...outage, ...other];
}

function listAttemptEvents(
  state: JournalState,
  attempt: Attempt,
  faults: JournalFaults,
): readonly string[] {
  const isUp = !state.isStoreDown;
  const arriveEvents = attempt.isInFlight && isUp ? ["arrive"] : [];
  const crashEvents =
    ["dead", "idle", "refused", "reported", "done"].includes(attempt.phase)
      ? []
      : ["crash"];
  const listPhaseEvents = (): readonly string[] => {
    switch (attempt.phase) {
      case "idle":
        return isUp ? ["read"] : ["refuse"];
      case "ready":
        return attempt.writes < MAX_WRITES ? ["send"] : ["refuse"];
      case "sent":
        return [
          ...(attempt.answer === "none" ? [] : ["answer"]),
          "loseAnswer",
          ...(faults.dispatchesBeforeAnswer ? ["dispatch"] : []),
        ];
      case "uncertain":
        return [
          ...(isUp ? ["read"] : []),
          "refuse",
          ...(faults.trustsLostAnswer ? ["trustLostAnswer"] : []),
        ];
      case "granted":
        return ["dispatch", ...(isUp ? ["abort"] : [])];
      case "dispatched":
        return [
          ...(isUp ? ["finish"] : []),
          ...(faults.refusesAfterDispatch ? ["abort"] : []),
        ];
      case "refused":
        return isUp && hasOpenRecord(state, state.attempts.indexOf(attempt))
          ? ["abortLate"]
          : [];
      case "done":
      case "reported":
      case "dead":
        return [];
    }
  };
  return [...listPhaseEvents(), ...arriveEvents, ...crashEvents];
}

function applyEvent(
  state: JournalState,
  event: SpecEvent,
  faults: JournalFaults,
): JournalState {
  const { name, numbers } = parseEvent(event);
  const index = numbers[0] ?? 0;
  const attempt = state.attempts[index]!;
  const withAttempt = (
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
      return withAttempt(decide(state, index, faults));
    case "send":
      return withAttempt({
        phase: "sent",
        isInFlight: true,
        answer: "none",
        writes: attempt.writes + 1,
      });
    case "arrive":
      return deliverWrite(state, index, faults);
    case "answer":
      return attempt.answer === "written"
        ? withAttempt({ phase: "granted", answer: "none" })
        : withAttempt({ phase: "idle", answer: "none" });
    case "loseAnswer":
      return withAttempt({ phase: "uncertain", answer: "none" });
    case "trustLostAnswer":
      return withAttempt({ phase: "granted" });
    case "refuse":
      return withAttempt({ phase: "refused", wasRefused: true });
    case "dispatch":
      return withAttempt({ phase: "dispatched" }, { runs: state.runs + 1 });
    case "abort":
      return withAttempt(
        { phase: "refused", wasRefused: true },
        recordEnd(state, index, { kind: "not-run" }),
      );
    case "abortLate":
      return withAttempt({}, recordEnd(state, index, { kind: "not-run" }));
    case "finish":
      return withAttempt(
        { phase: "done" },
        recordEnd(state, index, { kind: "ran", answer: undefined }),
      );
    case "crash":
      return withAttempt({ phase: "dead" });
    default:
      throw new Error(`Cannot apply event: got ${event.type}`);
  }
}

/** Reads the journal and decides with the production code. */
function decide(
  state: JournalState,
  index: number,
  faults: JournalFaults,
): Partial<Attempt> {
  const isDead = (holder: Incarnation) =>
    state.attempts.some(({ phase }, at) =>
      phase === "dead" && toHolder(at) === holder
    );
  const decision = decideBegin(state.record ?? undefined, toRun(index), 0, {
    isDead,
  });
  switch (decision.kind) {
    case "claim":
      return { phase: "ready", expectedRevision: state.revision };
    case "granted":
      return { phase: "granted" };
    case "unknown":
      return faults.rerunsUnknown
        ? { phase: "ready", expectedRevision: state.revision }
        : { phase: "reported" };
    case "kept":
    case "not-kept":
    case "in-progress":
    case "mismatch":
      return { phase: "reported" };
  }
}

/** Delivers a write to the store, possibly long after its sender stopped waiting. */
function deliverWrite(
  state: JournalState,
  index: number,
  faults: JournalFaults,
): JournalState {
  const attempt = state.attempts[index]!;
  const isExpectedRevision = attempt.expectedRevision === state.revision ||
    faults.ignoresRevision === true;
  const isAwaited = attempt.phase === "sent";
  const changed: Attempt = {
    ...attempt,
    isInFlight: false,
    answer: isAwaited ? (isExpectedRevision ? "written" : "conflict") : "none",
  };
  const attempts = replaceAt(state.attempts, index, changed);
  if (!isExpectedRevision) return { ...state, attempts };
  const record: RunRecord = { ...toRun(index), begunMs: 0, end: undefined };
  return { ...state, attempts, record, revision: state.revision + 1 };
}

/** Records the end of an attempt's run in the journal, if its record is still open. */
function recordEnd(
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

/** Returns whether the journal's record is open and belongs to the attempt. */
function hasOpenRecord(state: JournalState, index: number): boolean {
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
