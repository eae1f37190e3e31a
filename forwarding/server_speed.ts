import type { BackendId } from "../ids/mod.ts";
import { forgetOthers } from "./forget_others.ts";

/** Part that a new sample has in the running mean: about the last ten count. */
const SAMPLE_WEIGHT = 0.1;
/** Prompts from this size on tell the speed of reading, in tokens. */
const TELLING_TOKENS = 2_000;
/** Speed of reading before any is measured, in tokens a millisecond: a mid-range engine. */
const INITIAL_TOKENS_PER_MS = 40;
/** Time to the first byte beside the reading before any is measured, in milliseconds. */
const INITIAL_BASE_MS = 40;
/** Bounds that keep one odd sample from turning the estimate over. */
const SPEED_BOUNDS_PER_MS = { least: 2, most: 2_000 };

interface Speed {
  baseMs: number;
  tokensPerMs: number;
}

/** How fast servers are, learned from the times of their answers. */
export class ServerSpeeds {
  readonly #byServer = new Map<BackendId, Speed>();
  readonly #byService = new Map<string, Speed>();

  /**
   * Returns the time that a server takes to its first byte.
   *
   * @param server Which.
   * @param service Its service, whose mean stands in for a new server.
   * @param tokens Prompt tokens that it reads before.
   */
  estimateMs(server: BackendId, service: string, tokens: number): number {
    const speed = this.#byServer.get(server) ?? this.#readService(service);
    return speed.baseMs + tokens / speed.tokensPerMs;
  }

  /**
   * Learns from one answer.
   *
   * @param server Who answered.
   * @param service Its service.
   * @param sample Tokens that were read before the first byte, and its time.
   */
  record(
    server: BackendId,
    service: string,
    sample: { readonly tokens: number; readonly firstByteMs: number },
  ): void {
    const speed = this.#byServer.get(server) ??
      { ...this.#readService(service) };
    this.#byServer.set(server, speed);
    learn(speed, sample);
    const mean = this.#readService(service);
    learn(mean, sample);
    this.#byService.set(service, mean);
  }

  /** Forgets servers that are gone. */
  keepOnly(servers: ReadonlySet<BackendId>): void {
    forgetOthers(this.#byServer, servers);
  }

  #readService(service: string): Speed {
    return this.#byService.get(service) ??
      { baseMs: INITIAL_BASE_MS, tokensPerMs: INITIAL_TOKENS_PER_MS };
  }
}

function learn(
  speed: Speed,
  { tokens, firstByteMs }: {
    readonly tokens: number;
    readonly firstByteMs: number;
  },
): void {
  if (tokens < TELLING_TOKENS) {
    const baseMs = Math.max(0, firstByteMs - tokens / speed.tokensPerMs);
    speed.baseMs += SAMPLE_WEIGHT * (baseMs - speed.baseMs);
    return;
  }
  const readingMs = Math.max(1, firstByteMs - speed.baseMs);
  const { least, most } = SPEED_BOUNDS_PER_MS;
  const measured = Math.min(most, Math.max(least, tokens / readingMs));
  // The mean of times per token, not of speeds: estimates are times.
  const perToken = 1 / speed.tokensPerMs;
  speed.tokensPerMs = 1 /
    (perToken + SAMPLE_WEIGHT * (1 / measured - perToken));
}
