import type { BackendId } from "../ids/mod.ts";
import { forgetOthers } from "./forget_others.ts";

/**
 * Silence of a server that streams answers, in milliseconds, after which new
 * calls go elsewhere. An engine makes a token for each running sequence a step,
 * and reads prompts in chunks of some ten milliseconds between the steps: an
 * event of any stream is due several times in this time.
 */
const STREAMING_SILENCE_MS = 500;
/**
 * Silence of a server that streams answers, in milliseconds, after which streams
 * that may be resumed go on elsewhere. Twice the time above: a stream that is
 * resumed is late already, and its prompt is read once more.
 */
const GONE_SILENCE_MS = 1_000;
/**
 * Silence of a server that has begun no answer, in estimates of its next first
 * byte, and at least the time above. The same as calls are waited for.
 */
const SILENCE_ESTIMATES = 4;

interface Pulse {
  heardMs: number;
  /** When each call in flight was sent, the longest waiting first. */
  readonly sentMs: Set<{ readonly atMs: number }>;
  /** Calls in flight whose answers have begun. */
  begun: number;
}

/** A call in flight at a server. */
export interface PulseCall {
  /** Records bytes of the answer. */
  readonly hear: (nowMs: number) => void;
  /** Ends the call. */
  readonly end: () => void;
}

/**
 * Which servers say nothing on any connection though they have work. A server
 * that lost its power or its network sends no reset, its entry lapses after three
 * heartbeats, and a call that must not be repeated can't be given up: without
 * this, whatever is sent there until then is lost.
 *
 * Nothing is decided for good: a single byte makes the server usable again.
 */
export class ServerPulses {
  readonly #byServer = new Map<BackendId, Pulse>();

  /**
   * Records a call that is sent.
   *
   * @param server Where.
   * @param nowMs Time now.
   */
  begin(server: BackendId, nowMs: number): PulseCall {
    const pulse = this.#byServer.get(server) ??
      { heardMs: nowMs, sentMs: new Set(), begun: 0 };
    this.#byServer.set(server, pulse);
    const sent = { atMs: nowMs };
    pulse.sentMs.add(sent);
    let hasBegun = false;
    return {
      hear: (heardMs) => {
        pulse.heardMs = heardMs;
        if (!hasBegun) pulse.begun++;
        hasBegun = true;
      },
      end: () => {
        if (pulse.sentMs.delete(sent) && hasBegun) pulse.begun--;
      },
    };
  }

  /**
   * Whether a server has been silent for so long that it is probably gone.
   *
   * @param server Which.
   * @param estimateMs What it is estimated to take to the next first byte.
   * @param nowMs Time now.
   */
  isSilent(server: BackendId, estimateMs: number, nowMs: number): boolean {
    const limitMs = this.#isStreaming(server)
      ? STREAMING_SILENCE_MS
      : Math.max(STREAMING_SILENCE_MS, SILENCE_ESTIMATES * estimateMs);
    return this.#readSilenceMs(server, nowMs) > limitMs;
  }

  /** Whether a server that streams answers has been silent for so long that they go on elsewhere. */
  isGone(server: BackendId, nowMs: number): boolean {
    return this.#isStreaming(server) &&
      this.#readSilenceMs(server, nowMs) > GONE_SILENCE_MS;
  }

  #isStreaming(server: BackendId): boolean {
    return (this.#byServer.get(server)?.begun ?? 0) > 0;
  }

  /** How long a server with work has said nothing, in milliseconds; 0 without work. */
  #readSilenceMs(server: BackendId, nowMs: number): number {
    const pulse = this.#byServer.get(server);
    const [oldest] = pulse?.sentMs ?? [];
    if (pulse === undefined || oldest === undefined) return 0;
    return nowMs - Math.max(pulse.heardMs, oldest.atMs);
  }

  /** Forgets servers that are gone. */
  keepOnly(servers: ReadonlySet<BackendId>): void {
    forgetOthers(this.#byServer, servers);
  }
}
