import { deflateRawSync, inflateRawSync } from "node:zlib";
import {
  parseAddress,
  toBackendId,
  toFailureDomainId,
  toInstanceId,
  toRegionId,
  toTeamId,
} from "../ids/mod.ts";
import type {
  FleetReport,
  MemberGossip,
  MemberRecord,
  MemberState,
  ReportedLimit,
  ReportedLoad,
  ReportedPrefix,
} from "./fleet_report.ts";
import type { ReportedTeamUsage } from "../admission/mod.ts";
import {
  type CrashReport,
  type CrashRow,
  decodeCrashRow,
  encodeCrashRow,
} from "../quarantine/mod.ts";
import {
  addCapacities,
  addCapacityParam,
  CAPACITY_PARAM,
  decodeIncarnation,
  encodeIncarnation,
} from "./encode_capacities.ts";
import { decodeRolloutRow, encodeRolloutRow } from "./encode_rollouts.ts";
import { limitPrefixKey } from "./prefix_key.ts";
import { toNumber, toText } from "./read_wire.ts";

/** Method of the JSON-RPC notification that contains a report. */
const METHOD = "fleet.report";
const SCOPES: readonly FleetReport["scope"][] = [
  "instance",
  "region",
  "summary",
];
/**
 * First byte of a compressed report, with which a text report never begins. Four bytes
 * with the echo follow. The echo differs by receiver and precedes the compressed bytes,
 * which are the same for all receivers and are compressed only once.
 */
const COMPRESSED_MARKER = 1;
/** Size of the header that precedes a compressed report, in bytes. */
export const COMPRESSED_HEADER_BYTES = 5;
/** Maximum size of a decompressed report: far more than a region of hundreds of instances needs. */
const MAX_REPORT_BYTES = 262_144;
/** Bits of the parameter that holds the sender's requests. */
const WANTS_GOSSIP = 1;
const WANTS_SUMMARY = 2;
// Encoded by index. Instances of earlier versions know only the first three: to them, a
// lingering instance is neither ready nor leaving, so that they name it to nobody.
const STATES: readonly MemberState[] = [
  "starting",
  "ready",
  "leaving",
  "lingering",
];

// Rows are smaller than objects: reports are sent many times per second, and traffic
// between failure domains and regions is charged.
type MemberRow = readonly [
  id: string,
  incarnation: string,
  address: string,
  region: string,
  failureDomain: string,
  state: number,
  ...unreachableServices: readonly string[],
];

/** Number of fields of a member's row before its unreachable services. */
const MEMBER_FIELDS = 6;

/**
 * Encodes a report as a JSON-RPC 2.0 notification.
 *
 * @param report Report to encode.
 */
export function encodeReport(report: FleetReport): Buffer {
  const params = [
    encodeMemberRow(report.from),
    report.sequence,
    SCOPES.indexOf(report.scope),
    report.known.configurationVersion,
    report.known.store.revision,
    report.known.isStoreLost ? 1 : 0,
    report.loads.map((load) => [
      load.server,
      load.calls,
      Math.round(load.pendingTokens),
      Math.round(load.memoryTokens),
    ]),
    report.prefixes.map(({ server, part, tokens }) => [
      server,
      part ?? "",
      tokens,
    ]),
    report.gossip.map(encodeGossipRow),
    (report.wantsGossip ? WANTS_GOSSIP : 0) |
    (report.wantsSummary ? WANTS_SUMMARY : 0),
    // Most reports have none of these parameters, so that they are omitted where possible.
    ...encodeOptionalParams(report),
  ];
  return Buffer.from(
    JSON.stringify({
      jsonrpc: "2.0",
      method: METHOD,
      params: addCapacityParam(params, report),
    }),
  );
}

/**
 * Encodes and compresses a report for many receivers. It compresses well because it
 * repeats the names of servers and members.
 *
 * @param report Report to encode.
 */
export function compressReport(report: FleetReport): Buffer {
  return deflateRawSync(encodeReport(report));
}

/**
 * Returns the header that precedes a compressed report.
 *
 * @param echo Sequence number of the receiver's report that a summary includes; 0: none.
 */
export function encodeCompressedHeader(echo: number): Buffer {
  const head = Buffer.alloc(COMPRESSED_HEADER_BYTES);
  head.writeUInt8(COMPRESSED_MARKER);
  head.writeUInt32BE(echo, 1);
  return head;
}

/**
 * Decodes the report in a datagram. Returns `undefined` if the datagram contains none.
 *
 * @param datagram Datagram as received.
 */
export function decodeReport(datagram: Buffer): FleetReport | undefined {
  try {
    if (datagram[0] !== COMPRESSED_MARKER) return parseReport(datagram);
    const report = parseReport(
      inflateRawSync(datagram.subarray(COMPRESSED_HEADER_BYTES), {
        maxOutputLength: MAX_REPORT_BYTES,
      }),
    );
    return report && { ...report, echo: datagram.readUInt32BE(1) };
  } catch (error) {
    if (isMalformedReportError(error)) return undefined;
    throw error;
  }
}

function parseReport(text: Buffer): FleetReport | undefined {
  const message = JSON.parse(text.toString("utf8"));
  if (message.method !== METHOD) return undefined;
  return addCapacities(
    decodeParams(message.params),
    message.params[CAPACITY_PARAM],
  );
}

/**
 * Returns whether an error means that the bytes are no report, since any bytes may reach
 * the port. Errors of other kinds are bugs.
 */
function isMalformedReportError(error: unknown): boolean {
  const code = (error as { readonly code?: unknown }).code;
  return error instanceof SyntaxError || error instanceof TypeError ||
    error instanceof RangeError ||
    typeof code === "string" && code.startsWith("Z_");
}

// deno-lint-ignore no-explicit-any
function decodeParams(params: any): FleetReport {
  const [
    from,
    sequence,
    scope,
    configurationVersion,
    storeRevision,
    isStoreLost,
    loads,
    prefixes,
    gossip,
    requests,
    // Absent in reports of earlier versions.
    crashes = [],
    usage = [],
    limits = [],
    storeEra = 0,
    rollouts = [],
  ] = params;
  return {
    from: decodeMemberRow(from),
    sequence: toNumber(sequence),
    scope: SCOPES[scope] ?? "instance",
    known: {
      configurationVersion: toNumber(configurationVersion),
      store: {
        era: toNumber(storeEra),
        revision: toNumber(storeRevision),
      },
      isStoreLost: isStoreLost === 1,
    },
    loads: loads.map(decodeLoadRow),
    prefixes: prefixes.map(decodePrefixRow),
    gossip: gossip.map(decodeGossipRow),
    wantsGossip: (toNumber(requests) & WANTS_GOSSIP) > 0,
    wantsSummary: (toNumber(requests) & WANTS_SUMMARY) > 0,
    ...(crashes.length > 0 ? { crashReports: crashes.map(readCrashRow) } : {}),
    ...(usage.length > 0 ? { teamUsage: usage.map(decodeUsageRow) } : {}),
    ...(limits.length > 0 ? { limits: limits.map(decodeLimitRow) } : {}),
    ...(rollouts.length > 0
      ? { rollouts: rollouts.map(decodeRolloutRow) }
      : {}),
  };
}

function encodeMemberRow(member: MemberRecord): MemberRow {
  const { id, address, region, failureDomain, state } = member;
  return [
    id,
    encodeIncarnation(member),
    address,
    region,
    failureDomain,
    STATES.indexOf(state),
    ...member.unreachableServices ?? [],
  ];
}

/** Instances of earlier versions read the age at its place, and ignore what follows. */
function encodeGossipRow({ ageMs, member }: MemberGossip): readonly unknown[] {
  const row = encodeMemberRow(member);
  return [
    ...row.slice(0, MEMBER_FIELDS),
    Math.round(ageMs),
    ...row.slice(MEMBER_FIELDS),
  ];
}

function decodeMemberRow(row: MemberRow): MemberRecord {
  const [id, incarnation, address, region, failureDomain, state, ...services] =
    row;
  const known = STATES[state];
  if (known === undefined) throw new TypeError(`Wanted a state, got ${state}`);
  return {
    id: toInstanceId(toText(id)),
    ...decodeIncarnation(toText(incarnation)),
    address: toAddress(address),
    region: toRegionId(toText(region)),
    failureDomain: toFailureDomainId(toText(failureDomain)),
    state: known,
    ...(services.length > 0
      ? { unreachableServices: services.map(toText) }
      : {}),
  };
}

function decodeLoadRow(
  row: readonly [string, number, number, number],
): ReportedLoad {
  const [server, calls, pendingTokens, memoryTokens] = row;
  return {
    server: toBackendId(toText(server)),
    calls: toNumber(calls),
    pendingTokens: toNumber(pendingTokens),
    memoryTokens: toNumber(memoryTokens),
  };
}

function decodePrefixRow(
  row: readonly [string, string, number],
): ReportedPrefix {
  const [server, part, tokens] = row;
  return {
    server: toBackendId(toText(server)),
    part: limitPrefixKey(toText(part)) || undefined,
    tokens: toNumber(tokens),
  };
}

function decodeGossipRow(row: readonly unknown[]): MemberGossip {
  const member = [
    ...row.slice(0, MEMBER_FIELDS),
    ...row.slice(MEMBER_FIELDS + 1),
  ];
  return {
    member: decodeMemberRow(member as unknown as MemberRow),
    ageMs: toNumber(row[MEMBER_FIELDS]),
  };
}

/**
 * Returns the parameters for crashes, usage, limits, the store's era and rollouts. Empty
 * ones at the end are omitted.
 */
function encodeOptionalParams(
  {
    crashReports: crashes = [],
    known,
    limits = [],
    rollouts = [],
    teamUsage: usage = [],
  }: FleetReport,
): readonly unknown[] {
  const lists = [
    crashes.map(encodeCrashRow),
    usage.map(encodeUsageRow),
    limits.map(encodeLimitRow),
  ];
  const { era } = known.store;
  if (rollouts.length > 0) {
    return [...lists, era, rollouts.map(encodeRolloutRow)];
  }
  if (era > 0) return [...lists, era];
  const last = lists.findLastIndex((list) => list.length > 0);
  return lists.slice(0, last + 1);
}

/** A limit that is no longer advertised is encoded as `null`. */
type LimitRow = readonly [
  server: string,
  perSecond: number | null,
  ageMs: number,
];

function encodeLimitRow({ ageMs, perSecond, server }: ReportedLimit): LimitRow {
  return [server, perSecond ?? null, Math.round(ageMs)];
}

function decodeLimitRow([server, perSecond, ageMs]: LimitRow): ReportedLimit {
  return {
    server: toBackendId(toText(server)),
    perSecond: perSecond === null ? undefined : toNumber(perSecond),
    ageMs: Math.max(0, toNumber(ageMs)),
  };
}

type UsageRow = readonly [team: string, used: number, demand: number];

function encodeUsageRow({ demand, team, used }: ReportedTeamUsage): UsageRow {
  return [team, Math.round(used), Math.round(demand)];
}

function decodeUsageRow([team, used, demand]: UsageRow): ReportedTeamUsage {
  return {
    team: toTeamId(toText(team)),
    used: Math.max(0, toNumber(used)),
    demand: Math.max(0, toNumber(demand)),
  };
}

function readCrashRow([call, ageMs, ...fields]: CrashRow): CrashReport {
  return decodeCrashRow([
    toText(call),
    toNumber(ageMs),
    ...fields.map(toText),
  ]);
}

function toAddress(value: unknown): string {
  const text = toText(value);
  if (parseAddress(text) !== undefined) return text;
  throw new TypeError(`Wanted an address in a report, got "${text}"`);
}
