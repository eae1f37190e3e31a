import type { BackendId, CallFingerprint } from "../ids/mod.ts";
import { isPartFingerprint } from "./part_fingerprint.ts";
import { countAttributed, type Suspect } from "./suspect.ts";

/**
 * Number of servers that must crash during a call before the call is quarantined. One
 * or two crash during many calls at once that merely ran beside the call at fault; a
 * caller that retries is sent to two more servers.
 */
export const MIN_CRASHES = 3;
/**
 * Number of servers that are enough for a prompt part while another one is quarantined, if no
 * other suspect explains their crashes. Two parts that crash servers in turn share the servers,
 * and a third crash of each costs servers that are just replaced.
 */
const MIN_CRASHES_BESIDE_OTHERS = 2;
/**
 * Number of these crashes that no other suspect explains. Two suspects that both crash servers
 * often do so at the same ones, so that each would release the other if more were wanted.
 */
const MIN_OWN_CRASHES = 1;
/**
 * How long a call stays quarantined after the last server crash, in milliseconds:
 * longer than callers keep retrying, shorter than it takes to fix a server's fault.
 */
export const QUARANTINE_MS = 600_000;
/** Maximum number of suspect calls: as many as a hundred servers have in flight. */
const MAX_SUSPECTS = 4_096;
/** Maximum number of quarantined calls among these; beyond it, the oldest is released. */
const MAX_QUARANTINED = 256;

/** A bounded number of suspects, and which of them are quarantined. */
export class SuspectList {
  /** The one that changed last is at the end. */
  readonly #suspects = new Map<CallFingerprint, Suspect>();
  readonly #quarantined = new Set<CallFingerprint>();

  /** Number of suspects. */
  get size(): number {
    return this.#suspects.size;
  }

  /** Number of quarantined suspects. */
  get quarantinedCount(): number {
    return this.#quarantined.size;
  }

  /**
   * Number of failed trials of all quarantined suspects. Suspects whose last crash is that of the
   * same server were tried by the same call, and count once.
   */
  get failedTrialCount(): number {
    const byServer = new Map<BackendId | undefined, number>();
    this.#listQuarantined().forEach(({ failedTrials, servers }) => {
      const last = [...servers].at(-1);
      const most = Math.max(byServer.get(last) ?? 0, failedTrials);
      byServer.set(last, most);
    });
    return [...byServer.values()].reduce((sum, count) => sum + count, 0);
  }

  /** Number of prompt parts among the quarantined suspects. */
  get quarantinedPartCount(): number {
    return [...this.#quarantined].filter(isPartFingerprint).length;
  }

  /** Returns what is known against a call; `undefined`: nothing. */
  find(call: CallFingerprint): Suspect | undefined {
    return this.#suspects.get(call);
  }

  /** Returns what is known against a call if it is quarantined. */
  findQuarantined(call: CallFingerprint): Suspect | undefined {
    return this.#quarantined.has(call) ? this.#suspects.get(call) : undefined;
  }

  /** Adds a suspect, or records that it has changed; removes the oldest one of too many. */
  put(suspect: Suspect): void {
    this.#suspects.delete(suspect.call);
    this.#suspects.set(suspect.call, suspect);
    if (this.#suspects.size <= MAX_SUSPECTS) return;
    // A plain loop, as a copy of all keys at each new suspect takes most of the time of a crash.
    for (const each of this.#suspects.keys()) {
      if (this.#quarantined.has(each)) continue;
      this.remove(each);
      return;
    }
  }

  /**
   * Quarantines a suspect if enough crashes are attributed to it.
   *
   * @returns Whether it has been quarantined by this.
   */
  quarantine(suspect: Suspect): boolean {
    const { call } = suspect;
    if (this.#quarantined.has(call) || !this.#isHeld(suspect)) return false;
    this.#quarantined.add(call);
    const [oldest] = this.#quarantined;
    if (this.#quarantined.size > MAX_QUARANTINED) this.remove(oldest!);
    return true;
  }

  /** Returns the suspects that enough speaks against since another one is quarantined. */
  listHeldBeside(): readonly Suspect[] {
    return [...this.#suspects.values()].filter((suspect) =>
      !this.#quarantined.has(suspect.call) && this.#isHeld(suspect)
    );
  }

  /** Removes a suspect. Returns whether there was one. */
  remove(call: CallFingerprint): boolean {
    this.#quarantined.delete(call);
    return this.#suspects.delete(call);
  }

  /** Returns the suspects among all that a call is known by to which enough crashes are attributed. */
  listHeld(fingerprints: readonly CallFingerprint[]): readonly Suspect[] {
    return fingerprints.flatMap((call) => this.#suspects.get(call) ?? [])
      .filter((suspect) => this.#isHeld(suspect));
  }

  /**
   * Returns the quarantined suspects. Those whose quarantine is over are listed no longer. They
   * stay suspects: single calls are tried, and one more crash quarantines them again.
   */
  listInForce(nowMs: number): readonly Suspect[] {
    this.#listQuarantined().filter(({ lastCrashMs }) =>
      nowMs - lastCrashMs >= QUARANTINE_MS
    ).forEach(({ call }) => this.#quarantined.delete(call));
    return this.#listQuarantined();
  }

  /** Returns the other suspect with the most crashes. */
  findNext(suspect: Suspect): Suspect | undefined {
    return [...this.#suspects.values()].filter((each) => each !== suspect)
      .reduce<Suspect | undefined>(
        (most, each) =>
          each.servers.size > (most?.servers.size ?? 0) ? each : most,
        undefined,
      );
  }

  #isHeld(suspect: Suspect): boolean {
    if (suspect.servers.size < MIN_CRASHES_BESIDE_OTHERS) return false;
    // Only an answer releases what is quarantined: a suspect that overtakes it may be another
    // cause. A trial that crashed a server shows more than crashes that others may explain.
    if (this.#quarantined.has(suspect.call)) return true;
    if (suspect.servers.size < MIN_CRASHES) return this.#isHeldBeside(suspect);
    if (suspect.failedTrials > 0) return true;
    const attributed = countAttributed(suspect, this.#listQuarantined());
    return attributed >= MIN_OWN_CRASHES;
  }

  #isHeldBeside(suspect: Suspect): boolean {
    if (!isPartFingerprint(suspect.call)) return false;
    const quarantined = this.#listQuarantined();
    if (!quarantined.some(({ call }) => isPartFingerprint(call))) return false;
    const explained = new Set(quarantined.flatMap((each) => [...each.servers]));
    const own = [...suspect.servers].filter((server) => !explained.has(server));
    return own.length >= MIN_CRASHES_BESIDE_OTHERS;
  }

  #listQuarantined(): readonly Suspect[] {
    return [...this.#quarantined].map((call) => this.#suspects.get(call)!);
  }
}
