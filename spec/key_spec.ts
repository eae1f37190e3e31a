import { checkAccess } from "../forwarding/mod.ts";
import { toInstanceId, toTeamId } from "../ids/mod.ts";
import {
  computeTokenHash,
  type IdentifiedTeam,
  TeamTable,
} from "../teams/mod.ts";
import {
  type Mutant,
  parseEvent,
  replaceAt,
  type SpecEvent,
  type Specification,
} from "./specification.ts";

/** A call in transit from the first instance to the second. */
interface SpecHop {
  readonly key: number;
  /** Configuration version with which the first instance admitted the call. */
  readonly version: number;
}

interface KeySpecState {
  /** Configuration version that the operator has published. */
  readonly publishedVersion: number;
  /** Configuration version of each instance; 0 if it has none. */
  readonly versions: readonly number[];
  readonly hop: SpecHop | null;
  /** Whether a call has run with a key that is invalid in the newer of the two versions. */
  readonly hasRunInvalidKey: boolean;
  /** Whether a call was refused with a key that is valid in the newer of the two versions. */
  readonly hasRefusedValidKey: boolean;
  /** Number of calls so far. */
  readonly calls: number;
}

interface KeyFaults {
  /** The hop carries no version, so the second instance always decides by its own. */
  readonly omitsVersion?: boolean;
  /** The hop carries a version newer than any, so the first instance's decision always counts. */
  readonly inflatesVersion?: boolean;
  /** The hop carries the team without the hash of the key. */
  readonly omitsKey?: boolean;
}

const FIRST = 0;
const SECOND = 1;
const MAX_CALLS = 3;
/** Valid keys of each version: key 1 is added in version 2, key 0 is removed in version 3. */
const KEYS: readonly (readonly number[])[] = [[], [0], [0, 1], [1]];
const LAST_VERSION = KEYS.length - 1;
const TEAM = {
  id: toTeamId("team"),
  priority: undefined,
  homeRegions: undefined,
  limit: undefined,
};
const TABLES = KEYS.map((keys) =>
  new TeamTable([{ team: TEAM, tokenHashes: keys.map(toHash) }])
);

/** Calls over a hop while keys are added and removed; the two instances can have any versions. */
export const KEY_SPEC = createKeySpec({});

/** Faults of hops; the model checker must detect each. */
export const KEY_MUTANTS: readonly Mutant[] = [
  {
    name: "the second instance decides by an older configuration",
    specification: createKeySpec({ omitsVersion: true }),
  },
  {
    name: "the second instance always accepts the first one's decision",
    specification: createKeySpec({ inflatesVersion: true }),
  },
  {
    name: "the hop carries the team without the key",
    specification: createKeySpec({ omitsKey: true }),
  },
];

function createKeySpec(faults: KeyFaults): Specification<KeySpecState> {
  return {
    name: "keys over a hop",
    initial: {
      publishedVersion: 1,
      versions: [0, 0],
      hop: null,
      hasRunInvalidKey: false,
      hasRefusedValidKey: false,
      calls: 0,
    },
    listEvents,
    apply: (state, event) => applyEvent(state, event, faults),
    invariants: [
      {
        text:
          "a call does not run if its key is invalid in the newer of two instances' versions",
        holds: ({ hasRunInvalidKey }) => !hasRunInvalidKey,
      },
      {
        text:
          "a call is not refused if its key is valid in the newer of two instances' versions",
        holds: ({ hasRefusedValidKey }) => !hasRefusedValidKey,
      },
    ],
  };
}

function listEvents(state: KeySpecState): readonly SpecEvent[] {
  const { calls, hop, publishedVersion, versions } = state;
  const updateEvents = versions.flatMap((version, index) =>
    version < publishedVersion ? [{ type: `update(${index})` }] : []
  );
  const callEvents = hop === null && calls < MAX_CALLS && versions[FIRST]! > 0
    ? [0, 1].map((key) => ({ type: `call(${key})` }))
    : [];
  return [
    ...(publishedVersion < LAST_VERSION ? [{ type: "publish" }] : []),
    ...updateEvents,
    ...callEvents,
    ...(hop !== null && versions[SECOND]! > 0 ? [{ type: "arrive" }] : []),
  ];
}

function applyEvent(
  state: KeySpecState,
  event: SpecEvent,
  faults: KeyFaults,
): KeySpecState {
  const { name, numbers } = parseEvent(event);
  const [argument = 0] = numbers;
  switch (name) {
    case "publish":
      return { ...state, publishedVersion: state.publishedVersion + 1 };
    case "update": {
      const next = state.versions[argument]! + 1;
      return { ...state, versions: replaceAt(state.versions, argument, next) };
    }
    case "call": {
      const version = state.versions[FIRST]!;
      const isAllowed = isAdmitted(argument, version);
      const hop = isAllowed ? { key: argument, version } : null;
      return { ...state, hop, calls: state.calls + 1 };
    }
    case "arrive":
      return receiveHop(state, state.hop!, faults);
    default:
      throw new Error(`Cannot apply event: got ${event.type}`);
  }
}

/** Returns whether the production code admits a caller's key under a configuration version. */
function isAdmitted(key: number, version: number): boolean {
  return checkAccess({
    origin: { kind: "caller" },
    facts: { authorization: [`Bearer ${toKey(key)}`] },
    route: undefined,
    configuration: { teams: TABLES[version], version },
  }).isOk();
}

/** Receives a call at the second instance, which decides with the production code. */
function receiveHop(
  state: KeySpecState,
  { key, version }: SpecHop,
  { inflatesVersion, omitsKey, omitsVersion }: KeyFaults,
): KeySpecState {
  const ownVersion = state.versions[SECOND]!;
  const sentVersion = inflatesVersion ? LAST_VERSION + 1 : version;
  const caller: IdentifiedTeam = {
    team: TEAM,
    tokenHash: omitsKey ? "" : toHash(key),
  };
  const hasRun = checkAccess({
    origin: {
      kind: "instance",
      hop: {
        sendId: undefined,
        from: toInstanceId("first"),
        service: "app",
        remainingMs: 1,
        resumeAfter: undefined,
        tried: [],
        isTrial: false,
        isRepeat: false,
        isHandover: false,
        isAgain: false,
        version: undefined,
        configurationVersion: omitsVersion ? 0 : sentVersion,
        caller,
      },
    },
    facts: { authorization: [] },
    route: undefined,
    configuration: { teams: TABLES[ownVersion], version: ownVersion },
  }).isOk();
  const isKeyValid = KEYS[Math.max(version, ownVersion)]!.includes(key);
  return {
    ...state,
    hop: null,
    hasRunInvalidKey: state.hasRunInvalidKey || (hasRun && !isKeyValid),
    hasRefusedValidKey: state.hasRefusedValidKey || (!hasRun && isKeyValid),
  };
}

function toKey(key: number): string {
  return `key-${key}`;
}

function toHash(key: number): string {
  return computeTokenHash(toKey(key));
}
