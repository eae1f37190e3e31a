import type { Clock } from "../clock/mod.ts";
import {
  type CallHeaderCodec,
  GATEWAY_HEADER_CODEC,
  type PromptFacts,
  type SendEvents,
  type ServerClient,
} from "../forwarding/mod.ts";

/** Request header that carries the prompt as JSON in these benchmarks. */
const PROMPT_HEADER = "x-prompt";

/** Reads calls whose prompts are in a header. */
export const PROMPT_HEADER_CODEC: CallHeaderCodec = {
  ...GATEWAY_HEADER_CODEC,
  readCall: (headers) => ({
    ...GATEWAY_HEADER_CODEC.readCall(headers),
    prompt: readPrompt(headers),
  }),
};

/** Returns name and value of the header that carries a prompt. */
export function encodePrompt(prompt: PromptFacts): readonly string[] {
  return [PROMPT_HEADER, JSON.stringify(prompt)];
}

/** Speed and capacity of an engine. */
export interface VirtualEngineParts {
  readonly clock: Clock;
  /** Maximum number of sequences that run at the same time. */
  readonly slots: number;
  /** Maximum number of calls that wait for a slot. */
  readonly queue: number;
  /** Base duration of a decoding step, in milliseconds. */
  readonly stepMs: number;
  /** Time that each running sequence adds to a step, in milliseconds. */
  readonly stepMsPerSequence: number;
  /** Prefill speed, in prompt tokens per millisecond. */
  readonly tokensReadPerMs: number;
  /** Maximum number of tokens of one prompt that a step prefills. */
  readonly chunkTokens: number;
  /** Capacity of the prefix cache, in tokens. */
  readonly cacheTokens: number;
  /** Tokens that one event stands for. */
  readonly eventTokens: number;
}

interface Sequence {
  readonly events: SendEvents;
  readonly parts: readonly { readonly id: string; readonly tokens: number }[];
  prefillTokens: number;
  remainingTokens: number;
  generatedTokens: number;
  isAborted: boolean;
}

/** Head of the answer to an accepted call. */
const ACCEPTED_HEAD = {
  status: 200,
  statusText: "OK",
  headers: [],
};
/** Head of the answer of an engine without capacity. */
const OVERLOADED_HEAD = {
  status: 503,
  statusText: "Service Unavailable",
  headers: ["x-not-run", "1"],
};

/** Model engine with continuous batching, on a virtual clock. */
export class VirtualEngine {
  /** Number of prompt tokens prefilled so far. */
  readTokens = 0;
  readonly #parts: VirtualEngineParts;
  readonly #cache = new Map<string, number>();
  #running: Sequence[] = [];
  #waiting: Sequence[] = [];
  #cachedTokens = 0;
  #isStepping = false;

  /** @param parts Speed and capacity of the engine. */
  constructor(parts: VirtualEngineParts) {
    this.#parts = parts;
  }

  /** Number of running and waiting calls. */
  get calls(): number {
    return this.#running.length + this.#waiting.length;
  }

  /** Accepts a call, or refuses it if all slots and the queue are full. */
  send: ServerClient["send"] = ({ headers }, events) => {
    const prompt = readPrompt(headers);
    const sequence: Sequence = {
      events,
      parts: prompt.parts,
      prefillTokens: 0,
      remainingTokens: prompt.maxOutputTokens,
      generatedTokens: 0,
      isAborted: false,
    };
    const { clock, queue, slots } = this.#parts;
    const isFull = this.calls >= slots + queue;
    clock.schedule(0, () => {
      if (!isFull) return;
      events.onHead(OVERLOADED_HEAD);
      events.onEnd([]);
    });
    if (!isFull) {
      this.#waiting.push(sequence);
      this.#startStep();
    }
    return { resume: () => {}, abort: () => (sequence.isAborted = true) };
  };

  #startStep(): void {
    if (this.#isStepping) return;
    this.#dropAborted();
    this.#admit();
    if (this.#running.length === 0) return;
    this.#isStepping = true;
    const { chunkTokens, clock, stepMs, stepMsPerSequence, tokensReadPerMs } =
      this.#parts;
    const prefilling = this.#running.find(({ prefillTokens }) =>
      prefillTokens > 0
    );
    const chunkLength = Math.min(chunkTokens, prefilling?.prefillTokens ?? 0);
    const durationMs = stepMs + stepMsPerSequence * this.#running.length +
      chunkLength / tokensReadPerMs;
    clock.schedule(durationMs, () => this.#endStep(prefilling, chunkLength));
  }

  #endStep(prefilling: Sequence | undefined, chunkLength: number): void {
    this.#isStepping = false;
    if (prefilling !== undefined) {
      prefilling.prefillTokens -= chunkLength;
      this.readTokens += chunkLength;
      if (prefilling.prefillTokens <= 0) this.#cacheParts(prefilling);
    }
    this.#running.filter(({ isAborted, prefillTokens }) =>
      prefillTokens <= 0 && !isAborted
    ).forEach((sequence) => this.#generateToken(sequence));
    this.#running = this.#running.filter(({ remainingTokens }) =>
      remainingTokens > 0
    );
    this.#startStep();
  }

  #generateToken(sequence: Sequence): void {
    if (sequence.generatedTokens === 0) sequence.events.onHead(ACCEPTED_HEAD);
    const isEventDue =
      sequence.generatedTokens++ % this.#parts.eventTokens === 0;
    if (isEventDue) {
      const text = `id: ${sequence.generatedTokens}\ndata: x\n\n`;
      sequence.events.onData(Buffer.from(text));
    }
    if (--sequence.remainingTokens === 0) sequence.events.onEnd([]);
  }

  #admit(): void {
    while (this.#running.length < this.#parts.slots) {
      const next = this.#waiting.shift();
      if (next === undefined) return;
      next.prefillTokens = this.#countPrefillTokens(next);
      this.#running.push(next);
    }
  }

  #dropAborted(): void {
    const isActive = ({ isAborted }: Sequence) => !isAborted;
    this.#running = this.#running.filter(isActive);
    this.#waiting = this.#waiting.filter(isActive);
  }

  #countPrefillTokens({ parts }: Sequence): number {
    const firstUncached = parts.findIndex(({ id }) => !this.#cache.has(id));
    const uncached = firstUncached < 0 ? [] : parts.slice(firstUncached);
    return Math.max(1, uncached.reduce((sum, { tokens }) => sum + tokens, 0));
  }

  /** Caches the parts of a prompt and evicts the least recently used ones. */
  #cacheParts({ parts }: Sequence): void {
    parts.forEach(({ id, tokens }) => {
      this.#cachedTokens += this.#cache.delete(id) ? 0 : tokens;
      this.#cache.set(id, tokens);
    });
    for (const [id, tokens] of this.#cache) {
      if (this.#cachedTokens <= this.#parts.cacheTokens) return;
      this.#cache.delete(id);
      this.#cachedTokens -= tokens;
    }
  }
}

function readPrompt(headers: readonly string[]): PromptFacts {
  return JSON.parse(headers[headers.indexOf(PROMPT_HEADER) + 1]!);
}
