import type { BackendId } from "../ids/mod.ts";
import { forgetOthers } from "./forget_others.ts";

/** Weight of a new sample in the moving average: about the last ten samples count. */
const SAMPLE_WEIGHT = 0.1;
/** Minimum size of a prompt whose time is a sample of the prefill speed, in tokens. */
const MIN_SAMPLE_TOKENS = 2_000;
/** Prefill speed before any sample, in tokens a millisecond: that of a mid-range engine. */
const INITIAL_TOKENS_PER_MS = 40;
/** Time to the first byte without the prefill, before any sample, in milliseconds. */
const INITIAL_BASE_MS = 40;
/** Bounds on the speed of a sample, in tokens a millisecond: an outlier must not distort the estimate. */
const SPEED_BOUNDS_PER_MS = { min: 2, max: 2_000 };

interface Speed {
  baseMs: number;
  tokensPerMs: number;
}

/** Estimates how fast servers are, from the times to the first bytes of their answers. */
export class ServerSpeeds {
  readonly #byServer = new Map<BackendId, Speed>();
  readonly #byService = new Map<string, Speed>();

  /**
   * Returns the estimated time of a server to its first byte, in milliseconds.
   *
   * @param server The server.
   * @param service Its service, whose mean is used for a server without samples.
   * @param tokens Prompt tokens that the server prefills before that byte.
   */
  estimateMs(server: BackendId, service: string, tokens: number): number {
    const speed = this.#byServer.get(server) ?? this.#readService(service);
    return speed.baseMs + tokens / speed.tokensPerMs;
  }

  /**
   * Updates the estimates from one answer.
   *
   * @param server Server that answered.
   * @param service Its service.
   * @param sample Tokens that were prefilled before the first byte, and the time to that
   * byte in milliseconds.
   */
  record(
    server: BackendId,
    service: string,
    sample: { readonly tokens: number; readonly firstByteMs: number },
  ): void {
    const speed = this.#byServer.get(server) ??
      { ...this.#readService(service) };
    this.#byServer.set(server, speed);
    updateSpeed(speed, sample);
    const mean = this.#readService(service);
    updateSpeed(mean, sample);
    this.#byService.set(service, mean);
  }

  /** Removes the estimates of all servers but the given ones. */
  keepOnly(servers: ReadonlySet<BackendId>): void {
    forgetOthers(this.#byServer, servers);
  }

  #readService(service: string): Speed {
    return this.#byService.get(service) ??
      { baseMs: INITIAL_BASE_MS, tokensPerMs: INITIAL_TOKENS_PER_MS };
  }
}

function updateSpeed(
  speed: Speed,
  { tokens, firstByteMs }: {
    readonly tokens: number;
    readonly firstByteMs: number;
  },
): void {
  if (tokens < MIN_SAMPLE_TOKENS) {
    const baseMs = Math.max(0, firstByteMs - tokens / speed.tokensPerMs);
    speed.baseMs += SAMPLE_WEIGHT * (baseMs - speed.baseMs);
    return;
  }
  const prefillMs = Math.max(1, firstByteMs - speed.baseMs);
  const { min, max } = SPEED_BOUNDS_PER_MS;
  const measured = Math.min(max, Math.max(min, tokens / prefillMs));
  // Averages the time per token, not the speed, since the estimates are times.
  const perToken = 1 / speed.tokensPerMs;
  speed.tokensPerMs = 1 /
    (perToken + SAMPLE_WEIGHT * (1 / measured - perToken));
}
