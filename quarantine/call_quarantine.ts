import type { BackendId, CallFingerprint } from "../ids/mod.ts";
import type { CallContent } from "./call_content.ts";
import type { CrashReport } from "./crash_report.ts";

/**
 * Number of servers that must crash during a call before the call is quarantined. One
 * or two crash during many calls at once that merely ran beside the call at fault; a
 * caller that retries is sent to two more servers.
 */
const MIN_CRASHES = 3;
/**
 * How long a call stays quarantined after the last server crash, in milliseconds:
 * longer than callers keep retrying, shorter than it takes to fix a server's fault.
 */
export const QUARANTINE_MS = 600_000;
/** Maximum number of suspect calls: as many as a hundred servers have in flight. */
const MAX_SUSPECTS = 4_096;
/** Maximum number of quarantined calls among these; beyond it, the oldest is released. */
const MAX_QUARANTINED = 256;
/** Maximum number of crashed servers that are recorded for one call. */
const MAX_SERVERS_PER_CALL = 16;
/** How far the times that two instances report for the same crash differ, in milliseconds. */
const SAME_CRASH_MS = 1_000;
/**
 * How long an answer protects a call from suspicion, in milliseconds. Many callers may
 * send the same call, and several servers may crash at once for a reason of their own.
 * After that time, the call may reach servers of another version.
 */
const ANSWER_VALID_MS = 60_000;
/** Maximum number of answered calls that are remembered: enough for that time at thirty a second. */
const MAX_ANSWERED = 2_048;

interface Suspect {
  readonly servers: Set<BackendId>;
  lastCrashMs: number;
}

/** A call that has just been quarantined. */
export interface QuarantinedCall extends CrashReport {
  /** Whether this instance observed the last crash itself; otherwise another one reported it. */
  readonly isSeenHere: boolean;
}

/** Callbacks of a quarantine. */
export interface CallQuarantineParts {
  /** Called when a call has been quarantined. Default: does nothing. */
  readonly onQuarantined?: (held: QuarantinedCall) => void;
}

/**
 * Refuses calls that crash backend servers, based on the crashes that this instance
 * observed and that others reported. Without it, a call that crashes each server that
 * runs it would crash one after the other as its caller retries, and each of them would
 * lose all calls that it had.
 *
 * All calls of a server that crashes are suspects. A complete answer clears a suspect,
 * at this or another instance, shortly before the crash or at any time after it: the
 * call at fault gets none. Servers that crashed during a call with more crashes count
 * against that call only. A call is identified by its content, since its id is new
 * each time.
 */
export class CallQuarantine {
  readonly #onQuarantined: NonNullable<CallQuarantineParts["onQuarantined"]>;
  /** By content; the one that changed last is at the end. */
  readonly #suspects = new Map<CallFingerprint, Suspect>();
  readonly #quarantined = new Set<CallFingerprint>();
  readonly #answeredMs = new Map<CallFingerprint, number>();
  #unreported: CrashReport[] = [];
  #listOffset = 0;

  /** @param parts Callbacks. */
  constructor(parts: CallQuarantineParts = {}) {
    this.#onQuarantined = parts.onQuarantined ?? (() => {});
  }

  /** Number of calls that are quarantined. */
  get quarantinedCount(): number {
    return this.#quarantined.size;
  }

  /** Number of suspect calls, quarantined ones included. */
  get suspectCount(): number {
    return this.#suspects.size;
  }

  /**
   * Records that a server crashed while it had a call.
   *
   * @param content Content of the call.
   * @param server The server that crashed.
   * @param nowMs Current time, in milliseconds.
   */
  recordCrash(content: CallContent, server: BackendId, nowMs: number): void {
    const report = { call: content.fingerprint, servers: [server], ageMs: 0 };
    if (this.#mergeReport(report, nowMs, true)) this.#unreported.push(report);
  }

  /**
   * Records that a server answered a call completely, so that it is not the call that
   * crashes servers.
   *
   * @param content Content of the call.
   * @param nowMs Current time, in milliseconds.
   */
  recordAnswer({ fingerprint }: CallContent, nowMs: number): void {
    if (this.#mergeAnswer(fingerprint, nowMs)) {
      this.#unreported.push({ call: fingerprint, servers: [], ageMs: 0 });
    }
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
   * Returns how long a call stays quarantined, in milliseconds; 0: it may be sent.
   *
   * @param content Content of the call.
   * @param nowMs Current time, in milliseconds.
   */
  readRemainingQuarantineMs(content: CallContent, nowMs: number): number {
    if (this.#quarantined.size === 0) return 0;
    const { fingerprint } = content;
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) return 0;
    const leftMs = suspect.lastCrashMs + QUARANTINE_MS - nowMs;
    const isQuarantined = leftMs > 0 &&
      this.#countAttributed(suspect) >= MIN_CRASHES;
    return isQuarantined ? leftMs : 0;
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
    this.#releaseExpired(nowMs);
    const quarantined = [...this.#quarantined];
    const picked = Array.from(
      { length: Math.min(count, quarantined.length) },
      (_, at) => quarantined[(this.#listOffset + at) % quarantined.length]!,
    );
    this.#listOffset += count;
    return picked.map((call) => {
      const { servers, lastCrashMs } = this.#suspects.get(call)!;
      const ageMs = Math.max(0, nowMs - lastCrashMs);
      return { call, servers: [...servers], ageMs };
    });
  }

  /** Reports to others that a call during which they saw servers crash was answered here. */
  #reportAnswered(call: CallFingerprint, nowMs: number): void {
    if (!this.#wasAnswered(call, nowMs)) return;
    const ageMs = nowMs - this.#answeredMs.get(call)!;
    this.#unreported.push({ call, servers: [], ageMs });
  }

  /** @returns Whether the row contained something new. */
  #mergeReport(
    { ageMs, call, servers }: CrashReport,
    nowMs: number,
    isSeenHere: boolean,
  ): boolean {
    const atMs = nowMs - ageMs;
    if (servers.length === 0) return this.#mergeAnswer(call, atMs);
    if (ageMs >= QUARANTINE_MS || this.#wasAnswered(call, nowMs)) return false;
    const suspect = this.#suspects.get(call) ??
      { servers: new Set(), lastCrashMs: atMs };
    const newServers = servers.filter((server) => !suspect.servers.has(server));
    const capacity = MAX_SERVERS_PER_CALL - suspect.servers.size;
    // A full record takes no more servers, only the times of later crashes.
    const isLater = atMs > suspect.lastCrashMs + SAME_CRASH_MS;
    if (newServers.length === 0 || capacity === 0 && !isLater) return false;
    newServers.slice(0, capacity).forEach((server) =>
      suspect.servers.add(server)
    );
    // Repeated reports of known crashes must not prolong the quarantine: only new ones do.
    suspect.lastCrashMs = Math.max(suspect.lastCrashMs, atMs);
    this.#putSuspect(call, suspect);
    if (this.#quarantine(call, suspect)) {
      const report = { call, servers: [...suspect.servers], ageMs };
      this.#onQuarantined({ ...report, isSeenHere });
    }
    return true;
  }

  /** @returns Whether the call was a suspect. */
  #mergeAnswer(call: CallFingerprint, atMs: number): boolean {
    const knownMs = this.#answeredMs.get(call) ?? atMs;
    this.#answeredMs.delete(call);
    this.#answeredMs.set(call, Math.max(knownMs, atMs));
    const [oldest] = this.#answeredMs.keys();
    if (this.#answeredMs.size > MAX_ANSWERED) this.#answeredMs.delete(oldest!);
    return this.#removeSuspect(call);
  }

  #wasAnswered(call: CallFingerprint, nowMs: number): boolean {
    const atMs = this.#answeredMs.get(call);
    return atMs !== undefined && nowMs - atMs < ANSWER_VALID_MS;
  }

  #putSuspect(call: CallFingerprint, suspect: Suspect): void {
    this.#suspects.delete(call);
    this.#suspects.set(call, suspect);
    if (this.#suspects.size <= MAX_SUSPECTS) return;
    const oldest = [...this.#suspects.keys()].find((each) =>
      !this.#quarantined.has(each)
    );
    if (oldest !== undefined) this.#removeSuspect(oldest);
  }

  /** @returns Whether the call has been quarantined by this. */
  #quarantine(call: CallFingerprint, { servers }: Suspect): boolean {
    if (servers.size < MIN_CRASHES || this.#quarantined.has(call)) return false;
    this.#quarantined.add(call);
    const [oldest] = this.#quarantined;
    if (this.#quarantined.size > MAX_QUARANTINED) this.#removeSuspect(oldest!);
    return true;
  }

  /**
   * Counts the servers that crashed during a call, without those that also crashed
   * during a quarantined call with more crashes: that one crashed them, and this one ran
   * beside it.
   */
  #countAttributed({ servers }: Suspect): number {
    const moreCrashes = [...this.#quarantined].flatMap((call) => {
      const other = this.#suspects.get(call)!.servers;
      return other.size > servers.size ? [other] : [];
    });
    return [...servers]
      .filter((server) => !moreCrashes.some((other) => other.has(server)))
      .length;
  }

  /**
   * Releases calls whose quarantine is over. They stay suspects, so that one more crash
   * quarantines them again.
   */
  #releaseExpired(nowMs: number): void {
    [...this.#quarantined].filter((call) =>
      nowMs - this.#suspects.get(call)!.lastCrashMs >= QUARANTINE_MS
    ).forEach((call) => this.#quarantined.delete(call));
  }

  /** @returns Whether the call was a suspect. */
  #removeSuspect(call: CallFingerprint): boolean {
    this.#quarantined.delete(call);
    return this.#suspects.delete(call);
  }
}
