import { toFailureDomainId, toRegionId, toServerStartId } from "../ids/mod.ts";
import type { RegisteredServer } from "../servers/mod.ts";
import { evaluateServerEntry, withdrawServer } from "../state/mod.ts";
import {
  type Mutant,
  parseEvent,
  type SpecEvent,
  type Specification,
} from "./specification.ts";

/** A write under the key of a server, by one of its starts or by another writer. */
type SpecEntry =
  | {
    readonly kind: "own";
    /** Number of the start of the server that wrote the entry, from 1. */
    readonly start: number;
    readonly isDraining: boolean;
  }
  /** Bytes that cannot be parsed as an entry. */
  | { readonly kind: "unreadable" };

interface ServerSpecState {
  /** Writes in the store, oldest first. */
  readonly writes: readonly SpecEntry[];
  /** Number of starts of the server so far. */
  readonly startCount: number;
  /** Starts that have reported that they are leaving. */
  readonly leftStarts: readonly number[];
  /** Number of writes that the instance has observed. */
  readonly observedCount: number;
  /** The server as the instance knows it; `undefined` if the instance knows no entry. */
  readonly knownServer: RegisteredServer | undefined;
}

interface ServerFaults {
  readonly ignoresStarts?: boolean;
  readonly appliesOutdatedDraining?: boolean;
  readonly ignoresUnreadable?: boolean;
}

const NAME = "engine";
const MAX_WRITES = 6;
const MAX_STARTS = 3;

/**
 * The entries of one server, which restarts under its name and leaves. Writes of its
 * earlier starts come late, and other writers overwrite its entries. An instance
 * observes the writes in the order of the store; the specification of the state
 * checks this order.
 */
export const SERVER_SPEC = createServerSpec({});

/** Faults in the evaluation of entries; the model checker must detect each. */
export const SERVER_MUTANTS: readonly Mutant[] = [
  {
    name: "apply an entry without checking which start wrote it",
    specification: createServerSpec({ ignoresStarts: true }),
  },
  {
    name:
      "clear the leaving mark of a server on a late write of an earlier start",
    specification: createServerSpec({ appliesOutdatedDraining: true }),
  },
  {
    name: "continue to use a server whose entry cannot be read",
    specification: createServerSpec({ ignoresUnreadable: true }),
  },
];

function createServerSpec(
  faults: ServerFaults,
): Specification<ServerSpecState> {
  return {
    name: "entries of a server",
    initial: {
      writes: [],
      startCount: 0,
      leftStarts: [],
      observedCount: 0,
      knownServer: undefined,
    },
    listEvents,
    apply: (state, event) => applyEvent(state, event, faults),
    invariants: [
      {
        text: "the latest start that was observed is the one in use",
        holds: ({ knownServer, observedCount, writes }) => {
          const latest = findLatestStart(writes.slice(0, observedCount));
          return knownServer === undefined || knownServer.startedMs === latest;
        },
      },
      {
        text:
          "a start that has reported that it is leaving receives no new calls",
        holds: ({ knownServer, observedCount, writes }) =>
          knownServer === undefined || knownServer.isDraining ||
          !writes.slice(0, observedCount).some((write) =>
            write.kind === "own" && write.isDraining &&
            write.start === knownServer.startedMs
          ),
      },
      {
        text: "a server receives no calls while its last entry cannot be read",
        holds: ({ knownServer, observedCount, writes }) =>
          knownServer === undefined || knownServer.isDraining ||
          writes[observedCount - 1]?.kind !== "unreadable",
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
  { leftStarts, observedCount, startCount, writes }: ServerSpecState,
): readonly SpecEvent[] {
  const canWrite = writes.length < MAX_WRITES;
  const allStarts = Array.from({ length: startCount }, (_, index) => index + 1);
  return [
    ...(canWrite && startCount < MAX_STARTS ? [{ type: "start" }] : []),
    // A start can write at any time, also after a later start has begun.
    ...(canWrite
      ? allStarts.filter((start) => !leftStarts.includes(start)).flatMap((
        start,
      ) => [
        { type: `renew(${start})` },
        { type: `leave(${start})` },
      ])
      : []),
    ...(canWrite && startCount > 0 ? [{ type: "overwrite" }] : []),
    ...(observedCount < writes.length ? [{ type: "observe" }] : []),
  ];
}

function applyEvent(
  state: ServerSpecState,
  event: SpecEvent,
  faults: ServerFaults,
): ServerSpecState {
  const { name, numbers: [start = 0] } = parseEvent(event);
  const { leftStarts, observedCount, startCount, writes } = state;
  const write = (entry: SpecEntry): ServerSpecState => ({
    ...state,
    writes: [...writes, entry],
  });
  switch (name) {
    case "start":
      return {
        ...write({ kind: "own", start: startCount + 1, isDraining: false }),
        startCount: startCount + 1,
      };
    case "renew":
      return write({ kind: "own", start, isDraining: false });
    case "leave":
      return {
        ...write({ kind: "own", start, isDraining: true }),
        leftStarts: [...leftStarts, start],
      };
    case "overwrite":
      return write({ kind: "unreadable" });
    case "observe":
      return {
        ...state,
        observedCount: observedCount + 1,
        knownServer: evaluateEntry(
          state.knownServer,
          writes[observedCount]!,
          faults,
        ),
      };
    default:
      throw new Error(`Cannot apply event: got ${event.type}`);
  }
}

/** Evaluates one entry with the production code. */
function evaluateEntry(
  before: RegisteredServer | undefined,
  entry: SpecEntry,
  faults: ServerFaults,
): RegisteredServer | undefined {
  if (entry.kind === "unreadable") {
    if (faults.ignoresUnreadable) return before;
    return before && withdrawServer(before);
  }
  const reported = toServer(entry);
  if (faults.ignoresStarts) return reported;
  const verdict = evaluateServerEntry(before, reported);
  switch (verdict.kind) {
    case "put":
    case "restarted":
    case "foreign":
      return verdict.server;
    case "outdated":
      return faults.appliesOutdatedDraining
        ? { ...verdict.server, isDraining: reported.isDraining }
        : verdict.server;
  }
}

function toServer(
  { isDraining, start }: Extract<SpecEntry, { readonly kind: "own" }>,
): RegisteredServer {
  return {
    id: toServerStartId(NAME, start),
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
