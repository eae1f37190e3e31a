import {
  type BackendId,
  type InstanceId,
  type SendId,
  type ServerVersion,
  toBackendId,
  toInstanceId,
  toRegionId,
  toSendId,
  toServerVersion,
  toTeamId,
} from "../ids/mod.ts";
import type { IdentifiedTeam } from "../teams/mod.ts";
import type { RawHeaders } from "./call_header_codec.ts";
import { readHeader } from "./http_headers.ts";
import { parseRefusalReason, type RefusalReason } from "./refusal.ts";

/** Header that the first instance adds to a call that it forwards. */
const HOP_HEADER = "havenspur-hop";
/** Header that the second instance adds to its refusal or answer. */
const HOP_ANSWER_HEADER = "havenspur-hop-answer";

/** What the first instance tells the second one about a forwarded call. */
export interface Hop {
  /** The first instance. */
  readonly from: InstanceId;
  /** Id of this send, which the second instance repeats; `undefined` from earlier software. */
  readonly sendId: SendId | undefined;
  /**
   * Service that the first instance chose. The second instance uses it whatever its own
   * configuration is: of two calls that one instance receives, the later one must not be
   * handled by an older configuration.
   */
  readonly service: string;
  /** Time until the deadline of the call, in milliseconds. */
  readonly remainingMs: number;
  /** Id of the event after which the stream is resumed; `undefined` if the call's headers decide. */
  readonly resumeAfter: string | undefined;
  /** Backend servers that had the call before. */
  readonly tried: readonly BackendId[];
  /** Version of the first instance's configuration; 0 if it was not sent. */
  readonly configurationVersion: number;
  /** Whether the call is quarantined, and sent once to learn whether it still crashes servers. */
  readonly isTrial: boolean;
  /** Whether the call was sent before. Such calls use the versions in force only. */
  readonly isRepeat: boolean;
  /** Whether another destination has the call meanwhile, so that it must not wait for capacity. */
  readonly isHandover: boolean;
  /**
   * Whether the call was withdrawn from the second instance before, and has no attempt left: only
   * the servers that it was sent to then may get it.
   */
  readonly isAgain: boolean;
  /** Version that began the stream to resume; `undefined` if none did, or it has no effect. */
  readonly version: ServerVersion | undefined;
  /** Team and key of the caller as identified by the first instance; `undefined` if it identified none. */
  readonly caller: IdentifiedTeam | undefined;
}

/** What the second instance tells the first one about its answer. */
export interface HopAnswer {
  /**
   * `answered`: the answer is that of a server. `not-run`: the call was refused and has not
   * run. `unknown`: the call was refused and may have run.
   */
  readonly kind: "answered" | "not-run" | "unknown";
  /** Id of the send that is answered; `undefined` from earlier software. */
  readonly sendId: SendId | undefined;
  /** Time for which the second instance had the call, in milliseconds. */
  readonly servedMs: number;
  /** Servers that the second instance sent the call to. */
  readonly tried: readonly BackendId[];
  /**
   * Whether only the end of its connection ended the server's answer, which between instances
   * has a last chunk.
   */
  readonly endsWithConnection: boolean;
  /** Why the second instance refused the call; `undefined` for an answer, or if it was not sent. */
  readonly reason: RefusalReason | undefined;
  /** Version of the server that answered; `undefined` if none did, or it has no effect. */
  readonly version: ServerVersion | undefined;
}

/** Value of the field that says that the server's answer ends with its connection. */
const CONNECTION_END = "connection";
const HOP_ANSWER_KINDS: ReadonlySet<string> = new Set([
  "answered",
  "not-run",
  "unknown",
]);

/** Returns whether only instances may set a header. Such headers of callers are dropped. */
export function isHopHeader(name: string): boolean {
  return name === HOP_HEADER || name === HOP_ANSWER_HEADER;
}

/** Returns the name and the value of the header for a forwarded call. */
export function writeHop(hop: Hop): readonly [string, string] {
  const fields = new URLSearchParams({
    from: hop.from,
    service: hop.service,
    remainingMs: String(Math.floor(hop.remainingMs)),
    tried: hop.tried.join(" "),
    version: String(hop.configurationVersion),
  });
  if (hop.sendId !== undefined) fields.set("send", hop.sendId);
  if (hop.resumeAfter !== undefined) fields.set("after", hop.resumeAfter);
  if (hop.isTrial) fields.set("trial", "1");
  if (hop.isRepeat) fields.set("repeat", "1");
  if (hop.isHandover) fields.set("handover", "1");
  if (hop.isAgain) fields.set("again", "1");
  if (hop.version !== undefined) fields.set("begunBy", hop.version);
  if (hop.caller !== undefined) writeCaller(fields, hop.caller);
  return [HOP_HEADER, fields.toString()];
}

/** Reads the header of a forwarded call. Returns `undefined` if it is missing or malformed. */
export function readHop(headers: RawHeaders): Hop | undefined {
  const value = readHeader(headers, HOP_HEADER);
  if (value === undefined) return undefined;
  const fields = new URLSearchParams(value);
  const from = fields.get("from");
  const service = fields.get("service");
  const remainingMs = Number(fields.get("remainingMs") ?? Number.NaN);
  if (from === null || service === null || !Number.isFinite(remainingMs)) {
    return undefined;
  }
  return {
    from: toInstanceId(from),
    sendId: parseSendId(fields),
    service,
    remainingMs,
    resumeAfter: fields.get("after") ?? undefined,
    tried: parseServerIds(fields.get("tried")),
    configurationVersion: Number(fields.get("version") ?? 0),
    isTrial: fields.get("trial") === "1",
    isRepeat: fields.get("repeat") === "1",
    isHandover: fields.get("handover") === "1",
    isAgain: fields.get("again") === "1",
    version: parseVersion(fields.get("begunBy")),
    caller: readCaller(fields),
  };
}

/** Writes the caller with the hash of its key, which shows whether the key is still valid; never the key. */
function writeCaller(
  fields: URLSearchParams,
  { team, tokenHash }: IdentifiedTeam,
): void {
  fields.set("team", team.id);
  fields.set("key", tokenHash);
  if (team.priority !== undefined) {
    fields.set("priority", String(team.priority));
  }
  if (team.homeRegions !== undefined) {
    fields.set("homes", team.homeRegions.join(" "));
  }
}

function readCaller(fields: URLSearchParams): IdentifiedTeam | undefined {
  const team = fields.get("team");
  const tokenHash = fields.get("key");
  if (team === null || tokenHash === null) return undefined;
  const priority = fields.get("priority");
  const homes = fields.get("homes");
  return {
    tokenHash,
    team: {
      id: toTeamId(team),
      priority: priority === null ? undefined : Number(priority),
      homeRegions: homes?.split(" ").filter((home) => home !== "")
        .map(toRegionId),
      // The first instance has counted the call against the limit.
      limit: undefined,
    },
  };
}

/** Returns the name and the value of the header for an answer to a forwarded call. */
export function writeHopAnswer(answer: HopAnswer): readonly [string, string] {
  const fields = new URLSearchParams({
    kind: answer.kind,
    servedMs: String(Math.round(answer.servedMs)),
    tried: answer.tried.join(" "),
  });
  if (answer.sendId !== undefined) fields.set("send", answer.sendId);
  if (answer.endsWithConnection) fields.set("end", CONNECTION_END);
  if (answer.reason !== undefined) fields.set("reason", answer.reason);
  if (answer.version !== undefined) fields.set("begunBy", answer.version);
  return [HOP_ANSWER_HEADER, fields.toString()];
}

/** Reads the header of an answer to a forwarded call. Returns `undefined` if it is missing or malformed. */
export function readHopAnswer(headers: RawHeaders): HopAnswer | undefined {
  const value = readHeader(headers, HOP_ANSWER_HEADER);
  if (value === undefined) return undefined;
  const fields = new URLSearchParams(value);
  const kind = fields.get("kind") ?? "";
  if (!HOP_ANSWER_KINDS.has(kind)) return undefined;
  return {
    kind: kind as HopAnswer["kind"],
    sendId: parseSendId(fields),
    servedMs: Number(fields.get("servedMs") ?? 0),
    tried: parseServerIds(fields.get("tried")),
    endsWithConnection: fields.get("end") === CONNECTION_END,
    reason: parseRefusalReason(fields.get("reason")),
    version: parseVersion(fields.get("begunBy")),
  };
}

function parseSendId(fields: URLSearchParams): SendId | undefined {
  const text = fields.get("send");
  return text === null ? undefined : toSendId(text);
}

function parseVersion(text: string | null): ServerVersion | undefined {
  return text === null ? undefined : toServerVersion(text);
}

function parseServerIds(text: string | null): readonly BackendId[] {
  if (text === null || text === "") return [];
  return text.split(" ").map(toBackendId);
}
