import type { BackendId, CallFingerprint } from "../ids/mod.ts";
import type { CallContent } from "./call_content.ts";
import type { ReportedEnds } from "./reported_ends.ts";

/**
 * Servers that have to end under a call before it is refused. One or two end under
 * many calls at once that merely ran beside the one that did it; a caller that tries
 * again is sent to two servers more.
 */
const ENDS_TO_HOLD = 3;
/**
 * How long a call stays refused after the last server that ended, in milliseconds:
 * beyond the time in which callers try again, below that in which a server's fault is
 * mended.
 */
export const HOLD_MS = 600_000;
/** Calls that are remembered at the most: what a hundred servers have in flight. */
const MAX_SUSPECTS = 4_096;
/** Of these, calls that are refused; the oldest is let go. */
const MAX_HELD = 256;
/** Servers that are remembered of one call. */
const MAX_SERVERS = 16;
/** By how much the same end is told differently by two instances, in milliseconds. */
const SAME_TIME_MS = 1_000;
/**
 * How long an answer speaks for a call, in milliseconds. Many callers may send the
 * same call, and several servers may end at once for a reason of their own; beyond
 * that time the call may meet servers of another version.
 */
const ANSWER_COUNTS_MS = 60_000;
/** Answered calls that are remembered: those of that time, at thirty a second. */
const MAX_ANSWERED = 2_048;

interface Suspect {
  readonly servers: Set<BackendId>;
  lastEndMs: number;
}

/** A call that is refused from now on. */
export interface HeldCall extends ReportedEnds {
  /** Whether this instance saw the last of the servers end; else it was told. */
  readonly isSeenHere: boolean;
}

/** What a quarantine tells. */
export interface CallQuarantineParts {
  /** Called when a call is refused from now on. Default: nothing. */
  readonly onHeld?: (held: HeldCall) => void;
}

/**
 * Calls under which backend servers ended, from what this instance saw and what
 * others tell. A call that ends each server that runs it would otherwise end them one
 * after the other as its caller repeats it, each with all calls that it had.
 *
 * All calls of a server that ends are suspects. What tells them apart is a whole
 * answer, here or elsewhere, a little before or at any time after: the call that ends
 * servers gets none. And servers that ended under a call with more ends speak against
 * that one only. A call is told by its content: its id is new each time.
 */
export class CallQuarantine {
  readonly #onHeld: NonNullable<CallQuarantineParts["onHeld"]>;
  /** By content, the one that changed last at the end. */
  readonly #suspects = new Map<CallFingerprint, Suspect>();
  readonly #held = new Set<CallFingerprint>();
  readonly #answeredMs = new Map<CallFingerprint, number>();
  #untold: ReportedEnds[] = [];
  #heldTurn = 0;

  /** @param parts Who is told. */
  constructor(parts: CallQuarantineParts = {}) {
    this.#onHeld = parts.onHeld ?? (() => {});
  }

  /** Calls that are refused. */
  get heldCount(): number {
    return this.#held.size;
  }

  /** Calls that are remembered. */
  get suspectCount(): number {
    return this.#suspects.size;
  }

  /**
   * Records that a server ended while it had a call.
   *
   * @param content The call.
   * @param server Which.
   * @param nowMs Time now.
   */
  recordEnd(content: CallContent, server: BackendId, nowMs: number): void {
    const ends = { call: content.fingerprint, servers: [server], ageMs: 0 };
    if (this.#learnOne(ends, nowMs, true)) this.#untold.push(ends);
  }

  /**
   * Records that a server answered a call in full: it is not the one that ends servers.
   *
   * @param content The call.
   * @param nowMs Time now.
   */
  recordAnswer({ fingerprint }: CallContent, nowMs: number): void {
    if (this.#learnAnswer(fingerprint, nowMs)) {
      this.#untold.push({ call: fingerprint, servers: [], ageMs: 0 });
    }
  }

  /**
   * Takes what another instance tells.
   *
   * @param told Its rows.
   * @param nowMs Time now.
   * @returns Those that say something new.
   */
  learn(told: readonly ReportedEnds[], nowMs: number): readonly ReportedEnds[] {
    told.forEach(({ call, servers }) => {
      if (servers.length > 0) this.#contradict(call, nowMs);
    });
    return told.filter((ends) => this.#learnOne(ends, nowMs, false));
  }

  /**
   * Returns for how long a call is refused, in milliseconds; 0: it may be sent.
   *
   * @param content The call.
   * @param nowMs Time now.
   */
  readHeldMs(content: CallContent, nowMs: number): number {
    if (this.#held.size === 0) return 0;
    const { fingerprint } = content;
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) return 0;
    const leftMs = suspect.lastEndMs + HOLD_MS - nowMs;
    const isHeld = leftMs > 0 &&
      this.#countUnexplained(suspect) >= ENDS_TO_HOLD;
    return isHeld ? leftMs : 0;
  }

  /** Returns what this instance saw since the last call. */
  takeUntold(): readonly ReportedEnds[] {
    const untold = this.#untold;
    this.#untold = [];
    return untold;
  }

  /**
   * Returns calls that are refused, others each time: whoever did not hear of them, or
   * has just started, learns them from any report.
   *
   * @param count At the most.
   * @param nowMs Time now.
   */
  listHeldInTurn(count: number, nowMs: number): readonly ReportedEnds[] {
    this.#expire(nowMs);
    const held = [...this.#held];
    const picked = Array.from(
      { length: Math.min(count, held.length) },
      (_, at) => held[(this.#heldTurn + at) % held.length]!,
    );
    this.#heldTurn += count;
    return picked.map((call) => {
      const { servers, lastEndMs } = this.#suspects.get(call)!;
      const ageMs = Math.max(0, nowMs - lastEndMs);
      return { call, servers: [...servers], ageMs };
    });
  }

  /** Tells others that a call was answered here of which they say that servers ended under it. */
  #contradict(call: CallFingerprint, nowMs: number): void {
    if (!this.#wasAnswered(call, nowMs)) return;
    const ageMs = nowMs - this.#answeredMs.get(call)!;
    this.#untold.push({ call, servers: [], ageMs });
  }

  /** @returns Whether the row says something new. */
  #learnOne(
    { ageMs, call, servers }: ReportedEnds,
    nowMs: number,
    isSeenHere: boolean,
  ): boolean {
    const atMs = nowMs - ageMs;
    if (servers.length === 0) return this.#learnAnswer(call, atMs);
    if (ageMs >= HOLD_MS || this.#wasAnswered(call, nowMs)) return false;
    const suspect = this.#suspects.get(call) ??
      { servers: new Set(), lastEndMs: atMs };
    const unknown = servers.filter((server) => !suspect.servers.has(server));
    const room = MAX_SERVERS - suspect.servers.size;
    // A full record takes no more names, only the time of what ended since.
    const isLater = atMs > suspect.lastEndMs + SAME_TIME_MS;
    if (unknown.length === 0 || room === 0 && !isLater) return false;
    unknown.slice(0, room).forEach((server) => suspect.servers.add(server));
    // What is told again and again must not last for ever: only news renews it.
    suspect.lastEndMs = Math.max(suspect.lastEndMs, atMs);
    this.#remember(call, suspect);
    if (this.#hold(call, suspect)) {
      const ends = { call, servers: [...suspect.servers], ageMs };
      this.#onHeld({ ...ends, isSeenHere });
    }
    return true;
  }

  /** @returns Whether the call was a suspect. */
  #learnAnswer(call: CallFingerprint, atMs: number): boolean {
    const knownMs = this.#answeredMs.get(call) ?? atMs;
    this.#answeredMs.delete(call);
    this.#answeredMs.set(call, Math.max(knownMs, atMs));
    const [oldest] = this.#answeredMs.keys();
    if (this.#answeredMs.size > MAX_ANSWERED) this.#answeredMs.delete(oldest!);
    return this.#forget(call);
  }

  #wasAnswered(call: CallFingerprint, nowMs: number): boolean {
    const atMs = this.#answeredMs.get(call);
    return atMs !== undefined && nowMs - atMs < ANSWER_COUNTS_MS;
  }

  #remember(call: CallFingerprint, suspect: Suspect): void {
    this.#suspects.delete(call);
    this.#suspects.set(call, suspect);
    if (this.#suspects.size <= MAX_SUSPECTS) return;
    const oldest = [...this.#suspects.keys()].find((each) =>
      !this.#held.has(each)
    );
    if (oldest !== undefined) this.#forget(oldest);
  }

  /** @returns Whether the call is refused from now on. */
  #hold(call: CallFingerprint, { servers }: Suspect): boolean {
    if (servers.size < ENDS_TO_HOLD || this.#held.has(call)) return false;
    this.#held.add(call);
    const [oldest] = this.#held;
    if (this.#held.size > MAX_HELD) this.#forget(oldest!);
    return true;
  }

  /**
   * Counts the servers that ended under a call, without those that ended under one
   * with more ends as well: that one ended them, this one ran beside it.
   */
  #countUnexplained({ servers }: Suspect): number {
    const stronger = [...this.#held].flatMap((call) => {
      const other = this.#suspects.get(call)!.servers;
      return other.size > servers.size ? [other] : [];
    });
    return [...servers]
      .filter((server) => !stronger.some((other) => other.has(server))).length;
  }

  /** Lets calls run again; what is known of them stays, so that one end is enough then. */
  #expire(nowMs: number): void {
    [...this.#held].filter((call) =>
      nowMs - this.#suspects.get(call)!.lastEndMs >= HOLD_MS
    ).forEach((call) => this.#held.delete(call));
  }

  /** @returns Whether it was remembered. */
  #forget(call: CallFingerprint): boolean {
    this.#held.delete(call);
    return this.#suspects.delete(call);
  }
}
