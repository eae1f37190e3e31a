import type { BackendId } from "../ids/mod.ts";
import { forgetOthers } from "./forget_others.ts";

/**
 * Silence of a server that streams answers, in milliseconds, after which new calls are
 * sent elsewhere. In each step an engine generates a token for every running sequence,
 * and between steps it prefills prompts in chunks of some ten milliseconds: an event of
 * any stream is due several times within this time.
 */
const STREAMING_SILENCE_MS = 500;
/**
 * Silence of a server that streams answers, in milliseconds, after which resumable streams
 * are resumed elsewhere. It is twice the time above, since a stream that is resumed is late
 * already, and its prompt is prefilled again.
 */
const DEAD_SILENCE_MS = 1_000;
/**
 * Silence of a server, in milliseconds, after which it counts as lost: a sound one that stalls
 * goes on within one or two seconds.
 */
const LOST_SILENCE_MS = 3_000;
/**
 * Silence of a server that has begun no answer, after which new calls are sent elsewhere,
 * as a multiple of the estimated time to its next first byte; it is at least
 * `STREAMING_SILENCE_MS`. A send to a server times out after the same multiple.
 */
const SILENCE_ESTIMATES = 4;

interface Activity {
  /** `undefined` before the first byte. */
  lastByteMs: number | undefined;
  /** Number of calls in flight. */
  calls: number;
  /** Since when bytes of each call in flight that is not paused are awaited, the oldest first. */
  readonly waits: Set<{ readonly sinceMs: number }>;
  /** Number of these calls whose answers have begun. */
  begunAnswers: number;
}

/** A call in flight at a server. */
export interface TrackedCall {
  /** Records that bytes of the answer were received. */
  readonly recordBytes: (nowMs: number) => void;
  /** Records that the answer is not read for now, so that its server can send nothing. */
  readonly pause: () => void;
  /** Records that the answer is read again. */
  readonly resume: (nowMs: number) => void;
  /** Records that the call has ended. */
  readonly end: () => void;
}

/**
 * Tracks which servers are silent on all connections although they have calls in flight.
 *
 * A server that has lost its power or its network sends no reset, its entry lapses only
 * after three heartbeats, and a call that must not be retried can't be given up. Without
 * this, every call that is sent there until then is lost.
 *
 * A server is never given up for good: a single byte from it makes it usable again.
 */
export class ServerLiveness {
  readonly #byServer = new Map<BackendId, Activity>();

  /**
   * Records a call that is sent to a server.
   *
   * @param server The server.
   * @param nowMs Time now.
   */
  begin(server: BackendId, nowMs: number): TrackedCall {
    const activity = this.#byServer.get(server) ??
      { lastByteMs: undefined, calls: 0, waits: new Set(), begunAnswers: 0 };
    this.#byServer.set(server, activity);
    activity.calls++;
    let wait = { sinceMs: nowMs };
    activity.waits.add(wait);
    let hasBegun = false;
    let hasEnded = false;
    const pause = () => {
      if (activity.waits.delete(wait) && hasBegun) activity.begunAnswers--;
    };
    return {
      recordBytes: (receivedMs) => {
        activity.lastByteMs = receivedMs;
        if (!hasBegun && activity.waits.has(wait)) activity.begunAnswers++;
        hasBegun = true;
      },
      pause,
      resume: (resumedMs) => {
        if (hasEnded || activity.waits.has(wait)) return;
        wait = { sinceMs: resumedMs };
        activity.waits.add(wait);
        if (hasBegun) activity.begunAnswers++;
      },
      end: () => {
        if (hasEnded) return;
        hasEnded = true;
        pause();
        activity.calls--;
      },
    };
  }

  /**
   * Returns whether a server has been silent for so long that it is probably dead.
   *
   * @param server The server.
   * @param estimateMs Estimated time to its next first byte, in milliseconds.
   * @param nowMs Time now.
   */
  isSilent(server: BackendId, estimateMs: number, nowMs: number): boolean {
    const limitMs = this.#isStreaming(server)
      ? STREAMING_SILENCE_MS
      : Math.max(STREAMING_SILENCE_MS, SILENCE_ESTIMATES * estimateMs);
    return this.#readSilenceMs(server, nowMs) > limitMs;
  }

  /**
   * Returns whether a server that streams answers has been silent for so long that its
   * streams are to be resumed elsewhere.
   */
  isDead(server: BackendId, nowMs: number): boolean {
    return this.#isStreaming(server) &&
      this.#readSilenceMs(server, nowMs) > DEAD_SILENCE_MS;
  }

  /** Returns whether a server has been silent for longer than one that merely stalls. */
  isLost(server: BackendId, nowMs: number): boolean {
    return this.#readSilenceMs(server, nowMs) > LOST_SILENCE_MS;
  }

  #isStreaming(server: BackendId): boolean {
    return (this.#byServer.get(server)?.begunAnswers ?? 0) > 0;
  }

  /** Returns how long a server with calls in flight has been silent, in milliseconds; 0 without calls. */
  #readSilenceMs(server: BackendId, nowMs: number): number {
    const activity = this.#byServer.get(server);
    const [oldest] = activity?.waits ?? [];
    if (activity === undefined || oldest === undefined) return 0;
    return nowMs - Math.max(activity.lastByteMs ?? 0, oldest.sinceMs);
  }

  /** Removes the state of all servers but the given ones and those that have calls in flight. */
  keepOnly(servers: ReadonlySet<BackendId>): void {
    const busy = [...this.#byServer].filter(([, { calls }]) => calls > 0)
      .map(([server]) => server);
    forgetOthers(this.#byServer, new Set([...servers, ...busy]));
  }
}
