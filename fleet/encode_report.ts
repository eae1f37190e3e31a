import { deflateRawSync, inflateRawSync } from "node:zlib";
import {
  toBackendId,
  toCallFingerprint,
  toFailureDomainId,
  toInstanceId,
  toRegionId,
  toTeamId,
} from "../ids/mod.ts";
import type {
  FleetReport,
  MemberNews,
  MemberRecord,
  MemberState,
  ReportedLimit,
  ReportedLoad,
  ReportedPrefix,
} from "./fleet_report.ts";
import type { ReportedUse } from "../admission/mod.ts";
import type { ReportedEnds } from "../quarantine/mod.ts";

/** Method of the JSON-RPC notification that carries a report. */
const METHOD = "fleet.report";
const SCOPES: readonly FleetReport["scope"][] = [
  "instance",
  "region",
  "summary",
];
/**
 * First byte of a compressed report, which text never begins with. The echo follows
 * in four bytes, outside of what is compressed once for all receivers.
 */
const COMPRESSED = 1;
const COMPRESSED_HEAD_BYTES = 5;
/** Most bytes of a report: far more than a region of hundreds of instances fills. */
const MAX_REPORT_BYTES = 262_144;
/** What a sender asks for, one bit each. */
const WANTS_NEWS = 1;
const WANTS_SUMMARY = 2;
// Instances of earlier versions know the first three; to them a lingering one is neither
// ready nor leaving, so that they name it to nobody.
const STATES: readonly MemberState[] = [
  "starting",
  "ready",
  "leaving",
  "lingering",
];

// Rows in place of objects: reports go out many times a second, and bytes
// between failure domains and regions are paid for.
type MemberRow = readonly [
  id: string,
  incarnation: string,
  address: string,
  region: string,
  failureDomain: string,
  state: number,
];

/**
 * Returns a report as a JSON-RPC 2.0 notification.
 *
 * @param report What to tell.
 */
export function encodeReport(report: FleetReport): Buffer {
  const params = [
    toMemberRow(report.from),
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
    report.news.map(({ member, ageMs }) => [
      ...toMemberRow(member),
      Math.round(ageMs),
    ]),
    (report.wantsNews ? WANTS_NEWS : 0) |
    (report.wantsSummary ? WANTS_SUMMARY : 0),
    // Most reports have none: they need no place for them.
    ...encodeRare(report),
  ];
  return Buffer.from(
    JSON.stringify({ jsonrpc: "2.0", method: METHOD, params }),
  );
}

/**
 * Returns a report compressed, for many receivers: names of servers and members
 * come again and again in it.
 *
 * @param report What to tell.
 */
export function compressReport(report: FleetReport): Buffer {
  return deflateRawSync(encodeReport(report));
}

/**
 * Returns what stands before a compressed report.
 *
 * @param echo The receiver's own report that a summary counts; 0: none.
 */
export function encodeCompressedHead(echo: number): Buffer {
  const head = Buffer.alloc(COMPRESSED_HEAD_BYTES);
  head.writeUInt8(COMPRESSED);
  head.writeUInt32BE(echo, 1);
  return head;
}

/**
 * Returns the report in a datagram, or `undefined` where it holds none.
 *
 * @param datagram As received.
 */
export function decodeReport(datagram: Buffer): FleetReport | undefined {
  try {
    if (datagram[0] !== COMPRESSED) return parseReport(datagram);
    const report = parseReport(
      inflateRawSync(datagram.subarray(COMPRESSED_HEAD_BYTES), {
        maxOutputLength: MAX_REPORT_BYTES,
      }),
    );
    return report && { ...report, echo: datagram.readUInt32BE(1) };
  } catch (error) {
    if (isNoReport(error)) return undefined;
    throw error;
  }
}

function parseReport(text: Buffer): FleetReport | undefined {
  const message = JSON.parse(text.toString("utf8"));
  return message.method === METHOD ? fromParams(message.params) : undefined;
}

/** Whatever reaches the port may be no report; a bug of ours is none of these. */
function isNoReport(error: unknown): boolean {
  const code = (error as { readonly code?: unknown }).code;
  return error instanceof SyntaxError || error instanceof TypeError ||
    error instanceof RangeError ||
    typeof code === "string" && code.startsWith("Z_");
}

// deno-lint-ignore no-explicit-any
function fromParams(params: any): FleetReport {
  const [
    from,
    sequence,
    scope,
    configurationVersion,
    storeRevision,
    isStoreLost,
    loads,
    prefixes,
    news,
    wants,
    // Instances of earlier versions say nothing here.
    ends = [],
    uses = [],
    limits = [],
    storeEra = 0,
  ] = params;
  return {
    from: fromMemberRow(from),
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
    loads: loads.map(fromLoadRow),
    prefixes: prefixes.map(fromPrefixRow),
    news: news.map(fromNewsRow),
    wantsNews: (toNumber(wants) & WANTS_NEWS) > 0,
    wantsSummary: (toNumber(wants) & WANTS_SUMMARY) > 0,
    ...(ends.length > 0 ? { ends: ends.map(fromEndsRow) } : {}),
    ...(uses.length > 0 ? { uses: uses.map(fromUseRow) } : {}),
    ...(limits.length > 0 ? { limits: limits.map(fromLimitRow) } : {}),
  };
}

function toMemberRow(member: MemberRecord): MemberRow {
  const { id, incarnation, address, region, failureDomain, state } = member;
  return [
    id,
    incarnation,
    address,
    region,
    failureDomain,
    STATES.indexOf(state),
  ];
}

function fromMemberRow(row: MemberRow): MemberRecord {
  const [id, incarnation, address, region, failureDomain, state] = row;
  const known = STATES[state];
  if (known === undefined) throw new TypeError(`Unknown state ${state}`);
  return {
    id: toInstanceId(toText(id)),
    incarnation: toText(incarnation),
    address: toText(address),
    region: toRegionId(toText(region)),
    failureDomain: toFailureDomainId(toText(failureDomain)),
    state: known,
  };
}

function fromLoadRow(
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

function fromPrefixRow(row: readonly [string, string, number]): ReportedPrefix {
  const [server, part, tokens] = row;
  return {
    server: toBackendId(toText(server)),
    part: toText(part) || undefined,
    tokens: toNumber(tokens),
  };
}

function fromNewsRow(row: readonly [...MemberRow, number]): MemberNews {
  const [id, incarnation, address, region, failureDomain, state, ageMs] = row;
  return {
    member: fromMemberRow([
      id,
      incarnation,
      address,
      region,
      failureDomain,
      state,
    ]),
    ageMs: toNumber(ageMs),
  };
}

/** Ends, uses, limits and the store's era; what is empty behind the last that is not is left out. */
function encodeRare(
  { ends = [], known, limits = [], uses = [] }: FleetReport,
): readonly unknown[] {
  const lists = [
    ends.map(toEndsRow),
    uses.map(toUseRow),
    limits.map(toLimitRow),
  ];
  const { era } = known.store;
  if (era > 0) return [...lists, era];
  const last = lists.findLastIndex((list) => list.length > 0);
  return lists.slice(0, last + 1);
}

/** A limit that ended stands as `null`. */
type LimitRow = readonly [
  server: string,
  perSecond: number | null,
  ageMs: number,
];

function toLimitRow({ ageMs, perSecond, server }: ReportedLimit): LimitRow {
  return [server, perSecond ?? null, Math.round(ageMs)];
}

function fromLimitRow([server, perSecond, ageMs]: LimitRow): ReportedLimit {
  return {
    server: toBackendId(toText(server)),
    perSecond: perSecond === null ? undefined : toNumber(perSecond),
    ageMs: Math.max(0, toNumber(ageMs)),
  };
}

type UseRow = readonly [team: string, used: number, asked: number];

function toUseRow({ asked, team, used }: ReportedUse): UseRow {
  return [team, Math.round(used), Math.round(asked)];
}

function fromUseRow([team, used, asked]: UseRow): ReportedUse {
  return {
    team: toTeamId(toText(team)),
    used: Math.max(0, toNumber(used)),
    asked: Math.max(0, toNumber(asked)),
  };
}

type EndsRow = readonly [call: string, ageMs: number, ...servers: string[]];

function toEndsRow({ ageMs, call, servers }: ReportedEnds): EndsRow {
  return [call, Math.round(ageMs), ...servers];
}

function fromEndsRow([call, ageMs, ...servers]: EndsRow): ReportedEnds {
  return {
    call: toCallFingerprint(toText(call)),
    ageMs: Math.max(0, toNumber(ageMs)),
    servers: servers.map((server) => toBackendId(toText(server))),
  };
}

function toNumber(value: unknown): number {
  if (typeof value === "number" && Number.isFinite(value)) return value;
  throw new TypeError(`Wanted a number, got ${typeof value}`);
}

function toText(value: unknown): string {
  if (typeof value === "string") return value;
  throw new TypeError(`Wanted a text, got ${typeof value}`);
}
