import type { BackendId, CallFingerprint } from "../ids/mod.ts";
import type { CallContent } from "./call_content.ts";
import { AnsweredCalls } from "./answered_calls.ts";
import { computeDigest } from "./compute_digest.ts";
import type { CrashReport } from "./crash_report.ts";
import { isPartFingerprint } from "./part_fingerprint.ts";
import { createSuspect, type Suspect } from "./suspect.ts";
import { MIN_CRASHES, QUARANTINE_MS, SuspectList } from "./suspect_list.ts";
import {
  computeFirstTrialMs,
  computeOwnTrialMs,
  recordAsked,
} from "./trial_schedule.ts";

/** Maximum number of crashed servers that are recorded for one call. */
const MAX_SERVERS_PER_CALL = 16;
/**
 * Maximum number of crashed servers in the report of a new crash. Those that crashed just
 * before are repeated, as their reports may have been dropped; more bytes bring nothing.
 */
const MAX_REPORTED_SERVERS = MIN_CRASHES;
/**
 * Maximum number of prompt parts of one answered call that are remembered for the first time.
 * Otherwise calls with many new parts would displace the parts that others share. Calls that
 * come again have their other parts remembered, too.
 */
const MAX_NEW_ANSWERED_PARTS = 64;
/**
 * Maximum number of prompt parts of one call that become suspect at a crash. Those that were
 * answered lately never do, which leaves few of most calls. The queue of crash reports holds as
 * many.
 */
const MAX_NEW_SUSPECT_PARTS = 160;
/** Maximum number of crashed servers that are remembered: the servers of a large region. */
const MAX_CRASHED_SERVERS = 256;
/** How far the times that two instances report for the same crash differ, in milliseconds. */
const SAME_CRASH_MS = 1_000;
/** Maximum number of answered contents that are remembered: enough for a minute at thirty a second. */
const MAX_ANSWERED_CONTENTS = 4_096;
/** Maximum number of answered prompt parts that are remembered; calls share most of them. */
const MAX_ANSWERED_PARTS = 16_384;
/**
 * Time by which calls with several quarantined parts are tried later for each further part, in
 * milliseconds.
 */
const SEVERAL_PARTS_DELAY_MS = 5_000;
/** Minimum time after which refused callers may retry, in milliseconds. */
const MIN_RETRY_MS = 500;

/** A change of what is quarantined. */
export type QuarantineEvent =
  | {
    /**
     * `quarantined`: calls are refused from now on. `trial-failed`: one that was tried has crashed
     * another server.
     */
    readonly kind: "quarantined" | "trial-failed";
    readonly report: CrashReport;
    /** Whether this instance observed the last crash itself; otherwise another one reported it. */
    readonly isSeenHere: boolean;
    /** The other suspect with the most crashes, and their number; `undefined`: there is none. */
    readonly next: Pick<Suspect, "call" | "servers"> | undefined;
  }
  /** A server has answered a quarantined call. */
  | {
    readonly kind: "released";
    readonly call: CallFingerprint;
    readonly isSeenHere: boolean;
  };

/** Whether a call may be sent to a server. */
export type QuarantineVerdict =
  | { readonly kind: "clear" }
  /** The call is quarantined, and may be sent once to learn whether it still crashes servers. */
  | { readonly kind: "trial" }
  | {
    readonly kind: "refused";
    /** What the call has in common with those that crashed servers. */
    readonly call: CallFingerprint;
    /** Time until the next trial, in milliseconds. */
    readonly retryAfterMs: number;
  };

/** How a call ran that a server crashed with. */
export interface RecordCrashOptions {
  /** Whether the call was sent as a trial. Default: no. */
  readonly isTrial?: boolean;
}

/** Callbacks of a quarantine. */
export interface CallQuarantineParts {
  /** Called with each change of what is quarantined. Default: does nothing. */
  readonly onChange?: (event: QuarantineEvent) => void;
  /**
   * Returns the place of this instance, from 0, in the order in which instances try a
   * quarantined call; the order differs from call to call. Default: 0.
   */
  readonly rankSelf?: (call: CallFingerprint) => number;
}

const CLEAR: QuarantineVerdict = { kind: "clear" };

/**
 * Refuses calls that crash backend servers, based on the crashes that this instance
 * observed and that others reported. Without it, calls that crash each server that
 * runs them would crash one after the other, and each of them would lose all calls that
 * it had.
 *
 * A call is known by its whole content, since its id is new each time, and by each part of
 * its prompt that other calls may share. All of that is suspect if a server crashes while
 * it has the call. A complete answer clears it, at this or another instance, shortly before
 * the crash or at any time after it: the calls at fault get none. Servers that crashed
 * during a suspect with more evidence count against that one only.
 *
 * Calls that merely ran on servers that crashed can be quarantined, too, and then nobody
 * answers them. So single calls are tried: by one instance after the other, soon after the
 * last crash, later each time that another server has crashed. The first answer ends the
 * quarantine everywhere.
 */
export class CallQuarantine {
  readonly #onChange: NonNullable<CallQuarantineParts["onChange"]>;
  readonly #rankSelf: NonNullable<CallQuarantineParts["rankSelf"]>;
  readonly #suspects = new SuspectList();
  readonly #answeredContents = new AnsweredCalls(MAX_ANSWERED_CONTENTS);
  readonly #answeredParts = new AnsweredCalls(MAX_ANSWERED_PARTS);
  /** Servers that have crashed, in the order in which that became known. */
  readonly #crashedServers = new Set<BackendId>();
  #unreported: CrashReport[] = [];
  #listOffset = 0;

  /** @param parts Callbacks. */
  constructor(parts: CallQuarantineParts = {}) {
    this.#onChange = parts.onChange ?? (() => {});
    this.#rankSelf = parts.rankSelf ?? (() => 0);
  }

  /** Number of whole contents and prompt parts that are quarantined. */
  get quarantinedCount(): number {
    return this.#suspects.quarantinedCount;
  }

  /** Number of suspect contents and prompt parts, quarantined ones included. */
  get suspectCount(): number {
    return this.#suspects.size;
  }

  /** Number of prompt parts that are quarantined. */
  get quarantinedPartCount(): number {
    return this.#suspects.quarantinedPartCount;
  }

  /** Returns whether a server is known to have crashed lately, here or at another instance. */
  hasCrashed(server: BackendId): boolean {
    return this.#crashedServers.has(server);
  }

  /**
   * Records that a server crashed while it had a call.
   *
   * @param content Content of the call.
   * @param server The server that crashed.
   * @param nowMs Current time, in milliseconds.
   * @param options How the call ran.
   */
  recordCrash(
    content: CallContent,
    server: BackendId,
    nowMs: number,
    { isTrial = false }: RecordCrashOptions = {},
  ): void {
    this.#listSuspect(content, nowMs).forEach((call) => {
      const report: CrashReport = {
        call,
        servers: [server],
        ageMs: 0,
        ...(isTrial ? this.#countFailedTrial(call) : {}),
      };
      if (!this.#mergeReport(report, nowMs, true)) return;
      const known = toReport(this.#suspects.find(call)!, 0);
      const servers = known.servers.slice(-MAX_REPORTED_SERVERS);
      this.#unreported.push({ ...known, servers });
    });
  }

  /**
   * Records that a server answered a call completely, so that it is not the call that
   * crashes servers.
   *
   * @param content Content of the call.
   * @param nowMs Current time, in milliseconds.
   */
  recordAnswer(
    { fingerprint, partFingerprints }: CallContent,
    nowMs: number,
  ): void {
    this.release(fingerprint, nowMs);
    let newCount = 0;
    partFingerprints.forEach((part) => {
      const isKnown = this.#answeredParts.has(part) ||
        this.#suspects.find(part) !== undefined;
      if (isKnown || newCount++ < MAX_NEW_ANSWERED_PARTS) {
        this.release(part, nowMs);
      }
    });
  }

  /**
   * Ends the quarantine of a content or a prompt part, here and at all other instances, as if a
   * server had answered a call with it now.
   *
   * @param call The content or the prompt part.
   * @param nowMs Current time, in milliseconds.
   * @returns Whether servers had crashed during it.
   */
  release(call: CallFingerprint, nowMs: number): boolean {
    const wasSuspect = this.#mergeAnswer(call, nowMs, true);
    if (wasSuspect) this.#unreported.push({ call, servers: [], ageMs: 0 });
    return wasSuspect;
  }

  /**
   * Merges the crash reports of another instance.
   *
   * @param reports The rows of its report.
   * @param nowMs Current time, in milliseconds.
   * @returns The rows that contained something new.
   */
  mergeReports(
    reports: readonly CrashReport[],
    nowMs: number,
  ): readonly CrashReport[] {
    reports.forEach(({ call, servers }) => {
      if (servers.length > 0) this.#reportAnswered(call, nowMs);
    });
    return reports.filter((report) => this.#mergeReport(report, nowMs, false));
  }

  /**
   * Returns how long a call stays quarantined unless a trial of it is answered, in
   * milliseconds; 0: it is not quarantined.
   *
   * @param content Content of the call.
   * @param nowMs Current time, in milliseconds.
   */
  readRemainingQuarantineMs(content: CallContent, nowMs: number): number {
    const remainingMs = this.#suspects.listHeld(content.fingerprints)
      .map(({ lastCrashMs }) => lastCrashMs + QUARANTINE_MS - nowMs);
    return Math.max(0, ...remainingMs);
  }

  /**
   * Decides whether a call may be sent to a server. It has to be asked before each send, as
   * another instance may have reported a crash since the last one.
   *
   * @param content Content of the call.
   * @param nowMs Current time, in milliseconds.
   */
  admit(content: CallContent, nowMs: number): QuarantineVerdict {
    if (this.#suspects.size === 0) return CLEAR;
    const held = this.#suspects.listHeld(content.fingerprints);
    const [first] = held;
    if (first === undefined) return CLEAR;
    const failedTrials = this.#suspects.failedTrialCount;
    held.forEach((suspect) => recordAsked(suspect, failedTrials, nowMs));
    const ownTrialMs = held.map((suspect) =>
      computeOwnTrialMs(suspect, failedTrials, this.#rankSelf(suspect.call))
    );
    // Calls with several quarantined parts are tried later: a crash would not tell them apart.
    const delayMs = (held.length - 1) * SEVERAL_PARTS_DELAY_MS;
    if (nowMs >= Math.max(...ownTrialMs) + delayMs) {
      held.forEach((suspect) => suspect.trialMs = nowMs);
      return { kind: "trial" };
    }
    const firstTrialMs = Math.max(
      ...held.map((suspect) => computeFirstTrialMs(suspect, failedTrials)),
    );
    return {
      kind: "refused",
      call: first.call,
      retryAfterMs: Math.max(MIN_RETRY_MS, firstTrialMs - nowMs),
    };
  }

  /** Returns the crashes and answers to report that were recorded since it was last called. */
  takeUnreported(): readonly CrashReport[] {
    const unreported = this.#unreported;
    this.#unreported = [];
    return unreported;
  }

  /**
   * Returns some of the quarantined calls, the next ones each time: an instance that
   * missed them, or has just started, learns them from any report.
   *
   * @param count Maximum number of calls.
   * @param nowMs Current time, in milliseconds.
   */
  listQuarantinedInRotation(
    count: number,
    nowMs: number,
  ): readonly CrashReport[] {
    const quarantined = this.listQuarantined(nowMs);
    const picked = Array.from(
      { length: Math.min(count, quarantined.length) },
      (_, at) => quarantined[(this.#listOffset + at) % quarantined.length]!,
    );
    this.#listOffset += count;
    return picked;
  }

  /** Returns all that is quarantined, with the crashes that speak against it. */
  listQuarantined(nowMs: number): readonly CrashReport[] {
    return this.#suspects.listInForce(nowMs).map((suspect) =>
      toReport(suspect, Math.max(0, nowMs - suspect.lastCrashMs))
    );
  }

  /**
   * Returns what becomes suspect at the crash of a server that had a call. Of too many prompt
   * parts, suspects come first, then those that all instances pick alike by their digests.
   */
  #listSuspect(
    { fingerprint, partFingerprints }: CallContent,
    nowMs: number,
  ): readonly CallFingerprint[] {
    const parts = partFingerprints.filter((part) =>
      this.#answeredParts.readValidMs(part, nowMs) === undefined
    );
    if (parts.length <= MAX_NEW_SUSPECT_PARTS) return [fingerprint, ...parts];
    const known = parts.filter((part) =>
      this.#suspects.find(part) !== undefined
    );
    const digests = parts
      .filter((part) => this.#suspects.find(part) === undefined)
      .map((part) => ({ part, digest: computeDigest(part) }))
      .toSorted((a, b) => a.digest < b.digest ? -1 : 1);
    const picked = digests.slice(0, MAX_NEW_SUSPECT_PARTS)
      .map(({ part }) => part);
    return [fingerprint, ...picked, ...known];
  }

  /** Returns the number of failed trials after another one; nothing if the call is not quarantined. */
  #countFailedTrial(call: CallFingerprint): Pick<CrashReport, "failedTrials"> {
    const quarantined = this.#suspects.findQuarantined(call);
    if (quarantined === undefined) return {};
    return { failedTrials: quarantined.failedTrials + 1 };
  }

  /** Reports to others that a call during which they saw servers crash was answered here. */
  #reportAnswered(call: CallFingerprint, nowMs: number): void {
    const atMs = this.#answeredOf(call).readValidMs(call, nowMs);
    if (atMs === undefined) return;
    this.#unreported.push({ call, servers: [], ageMs: nowMs - atMs });
  }

  /** @returns Whether the row contained something new. */
  #mergeReport(
    report: CrashReport,
    nowMs: number,
    isSeenHere: boolean,
  ): boolean {
    const { ageMs, call, failedTrials = 0, servers } = report;
    const atMs = nowMs - ageMs;
    if (servers.length === 0) return this.#mergeAnswer(call, atMs, false);
    servers.forEach((server) => this.#rememberCrashed(server));
    const isAnswered =
      this.#answeredOf(call).readValidMs(call, nowMs) !== undefined;
    if (ageMs >= QUARANTINE_MS || isAnswered) return false;
    const suspect = this.#suspects.find(call) ?? createSuspect(call, atMs);
    const hasNewCrash = addCrashes(suspect, servers, atMs);
    const hasNewTrial = failedTrials > suspect.failedTrials;
    if (!hasNewCrash && !hasNewTrial) return false;
    suspect.failedTrials = Math.max(suspect.failedTrials, failedTrials);
    this.#suspects.put(suspect);
    const isNew = this.#suspects.quarantine(suspect);
    if (!isNew && !hasNewTrial) return true;
    this.#emitChange(isNew ? "quarantined" : "trial-failed", suspect, {
      ageMs,
      isSeenHere,
    });
    if (!isNew) return true;
    this.#suspects.listHeldBeside().forEach((other) => {
      if (!this.#suspects.quarantine(other)) return;
      const otherAgeMs = Math.max(0, nowMs - other.lastCrashMs);
      this.#emitChange("quarantined", other, { ageMs: otherAgeMs, isSeenHere });
    });
    return true;
  }

  #emitChange(
    kind: "quarantined" | "trial-failed",
    suspect: Suspect,
    { ageMs, isSeenHere }: {
      readonly ageMs: number;
      readonly isSeenHere: boolean;
    },
  ): void {
    this.#onChange({
      kind,
      report: toReport(suspect, ageMs),
      isSeenHere,
      next: this.#suspects.findNext(suspect),
    });
  }

  #rememberCrashed(server: BackendId): void {
    this.#crashedServers.add(server);
    if (this.#crashedServers.size <= MAX_CRASHED_SERVERS) return;
    const [oldest] = this.#crashedServers;
    this.#crashedServers.delete(oldest!);
  }

  /** @returns Whether the call was a suspect. */
  #mergeAnswer(
    call: CallFingerprint,
    atMs: number,
    isSeenHere: boolean,
  ): boolean {
    this.#answeredOf(call).record(call, atMs);
    const wasQuarantined = this.#suspects.findQuarantined(call) !== undefined;
    const wasSuspect = this.#suspects.remove(call);
    if (wasQuarantined) this.#onChange({ kind: "released", call, isSeenHere });
    return wasSuspect;
  }

  #answeredOf(call: CallFingerprint): AnsweredCalls {
    return isPartFingerprint(call)
      ? this.#answeredParts
      : this.#answeredContents;
  }
}

/**
 * Adds crashes to a suspect.
 *
 * @returns Whether one of them was new.
 */
function addCrashes(
  suspect: Suspect,
  servers: readonly BackendId[],
  atMs: number,
): boolean {
  const newServers = servers.filter((server) => !suspect.servers.has(server));
  const capacity = MAX_SERVERS_PER_CALL - suspect.servers.size;
  // A full record takes no more servers, only the times of later crashes.
  const isLater = atMs > suspect.lastCrashMs + SAME_CRASH_MS;
  if (newServers.length === 0 || capacity === 0 && !isLater) return false;
  newServers.slice(0, capacity)
    .forEach((server) => suspect.servers.add(server));
  // Repeated reports of known crashes must not prolong the quarantine: only new ones do.
  suspect.lastCrashMs = Math.max(suspect.lastCrashMs, atMs);
  suspect.asked = undefined;
  return true;
}

function toReport(
  { call, failedTrials, servers }: Suspect,
  ageMs: number,
): CrashReport {
  return {
    call,
    servers: [...servers],
    ageMs,
    ...(failedTrials > 0 ? { failedTrials } : {}),
  };
}
