import { toFailureDomainId, toRegionId, toStartedId } from "../ids/mod.ts";
import type { RegisteredServer } from "../servers/mod.ts";
import { judgeServerEntry, withdrawServer } from "../state/mod.ts";
import {
  type Mutant,
  parseEvent,
  type SpecEvent,
  type Specification,
} from "./specification.ts";

/** One write under the key of a server, by one of its starts or by another writer. */
type SpecEntry =
  | {
    readonly kind: "own";
    /** Which start of the server wrote it, from 1. */
    readonly start: number;
    readonly isDraining: boolean;
  }
  /** Bytes that are no entry. */
  | { readonly kind: "unreadable" };

interface ServerSpecState {
  /** Writes in the store, oldest first. */
  readonly writes: readonly SpecEntry[];
  /** Starts of the server so far. */
  readonly starts: number;
  /** Starts that have said that they leave. */
  readonly left: readonly number[];
  /** Writes that the instance has seen. */
  readonly seen: number;
  /** What the instance believes of the server. */
  readonly believed: RegisteredServer | undefined;
}

interface ServerFaults {
  readonly ignoresStarts?: boolean;
  readonly takesLateLeaving?: boolean;
  readonly keepsUnreadable?: boolean;
}

const NAME = "engine";
const MAX_WRITES = 6;
const MAX_STARTS = 3;

/**
 * The entries of one server, which starts again under its name, leaves, and whose
 * earlier starts write late; other writers overwrite them. An instance takes the
 * writes in their order in the store, as the state's own specification has it.
 */
export const SERVER_SPEC = createServerSpec({});

/** Faults of judging entries that must be found. */
export const SERVER_MUTANTS: readonly Mutant[] = [
  {
    name: "take an entry without asking which start wrote it",
    specification: createServerSpec({ ignoresStarts: true }),
  },
  {
    name: "take back that a server leaves, on a late word of an earlier start",
    specification: createServerSpec({ takesLateLeaving: true }),
  },
  {
    name: "go on using a server whose entry can't be read",
    specification: createServerSpec({ keepsUnreadable: true }),
  },
];

function createServerSpec(
  faults: ServerFaults,
): Specification<ServerSpecState> {
  return {
    name: "entries of a server",
    initial: { writes: [], starts: 0, left: [], seen: 0, believed: undefined },
    listEvents,
    apply: (state, event) => applyEvent(state, event, faults),
    invariants: [
      {
        text: "the latest start that was heard of is the one in use",
        holds: ({ believed, seen, writes }) => {
          const latest = findLatestStart(writes.slice(0, seen));
          return believed === undefined || believed.startedMs === latest;
        },
      },
      {
        text: "a start that said that it leaves gets nothing new",
        holds: ({ believed, seen, writes }) =>
          believed === undefined || believed.isDraining ||
          !writes.slice(0, seen).some((write) =>
            write.kind === "own" && write.isDraining &&
            write.start === believed.startedMs
          ),
      },
      {
        text: "a server gets nothing while its last entry can't be read",
        holds: ({ believed, seen, writes }) =>
          believed === undefined || believed.isDraining ||
          writes[seen - 1]?.kind !== "unreadable",
      },
    ],
  };
}

function findLatestStart(writes: readonly SpecEntry[]): number {
  return Math.max(
    ...writes.map((write) => write.kind === "own" ? write.start : 0),
  );
}

function listEvents(
  { left, seen, starts, writes }: ServerSpecState,
): readonly SpecEvent[] {
  const mayWrite = writes.length < MAX_WRITES;
  const all = Array.from({ length: starts }, (_, index) => index + 1);
  return [
    ...(mayWrite && starts < MAX_STARTS ? [{ type: "start" }] : []),
    // A start writes what it does at any time, also when the next one has begun.
    ...(mayWrite
      ? all.filter((start) => !left.includes(start)).flatMap((start) => [
        { type: `renew(${start})` },
        { type: `leave(${start})` },
      ])
      : []),
    ...(mayWrite && starts > 0 ? [{ type: "overwrite" }] : []),
    ...(seen < writes.length ? [{ type: "see" }] : []),
  ];
}

function applyEvent(
  state: ServerSpecState,
  event: SpecEvent,
  faults: ServerFaults,
): ServerSpecState {
  const { name, numbers: [start = 0] } = parseEvent(event);
  const { left, seen, starts, writes } = state;
  const write = (entry: SpecEntry): ServerSpecState => ({
    ...state,
    writes: [...writes, entry],
  });
  switch (name) {
    case "start":
      return {
        ...write({ kind: "own", start: starts + 1, isDraining: false }),
        starts: starts + 1,
      };
    case "renew":
      return write({ kind: "own", start, isDraining: false });
    case "leave":
      return {
        ...write({ kind: "own", start, isDraining: true }),
        left: [...left, start],
      };
    case "overwrite":
      return write({ kind: "unreadable" });
    case "see":
      return {
        ...state,
        seen: seen + 1,
        believed: judge(state.believed, writes[seen]!, faults),
      };
    default:
      throw new Error(`Unknown event ${event.type}`);
  }
}

/** Takes one entry as the product does. */
function judge(
  before: RegisteredServer | undefined,
  entry: SpecEntry,
  faults: ServerFaults,
): RegisteredServer | undefined {
  if (entry.kind === "unreadable") {
    if (faults.keepsUnreadable) return before;
    return before && withdrawServer(before);
  }
  const told = toServer(entry);
  if (faults.ignoresStarts) return told;
  const verdict = judgeServerEntry(before, told);
  switch (verdict.kind) {
    case "put":
    case "restarted":
    case "foreign":
      return verdict.server;
    case "outdated":
      return faults.takesLateLeaving
        ? { ...verdict.server, isDraining: told.isDraining }
        : verdict.server;
  }
}

function toServer(
  { isDraining, start }: Extract<SpecEntry, { readonly kind: "own" }>,
): RegisteredServer {
  return {
    id: toStartedId(NAME, start),
    name: NAME,
    startedMs: start,
    service: "app",
    address: "10.0.0.1:80",
    failureDomain: toFailureDomainId("north-a"),
    region: toRegionId("north"),
    slots: 1,
    isDraining,
    coldForMs: 0,
    sequence: 0,
  };
}
