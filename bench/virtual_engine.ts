import type { Clock } from "../clock/mod.ts";
import {
  type CallGrammar,
  OWN_GRAMMAR,
  type PromptFacts,
  type SendEvents,
  type ServerClient,
} from "../forwarding/mod.ts";

/** Header that carries a prompt in these benchmarks, as JSON. */
const PROMPT = "x-prompt";

/** Reads calls whose prompts stand in a header. */
export const PROMPT_GRAMMAR: CallGrammar = {
  ...OWN_GRAMMAR,
  readCall: (headers) => ({
    ...OWN_GRAMMAR.readCall(headers),
    prompt: readPrompt(headers),
  }),
};

/** Returns the header of a prompt. */
export function encodePrompt(prompt: PromptFacts): readonly string[] {
  return [PROMPT, JSON.stringify(prompt)];
}

/** How fast an engine is and how much it takes. */
export interface VirtualEngineParts {
  readonly clock: Clock;
  /** Sequences that run at a time. */
  readonly slots: number;
  /** Calls that wait beside them. */
  readonly queue: number;
  /** Time of a step, and what each running sequence adds, in milliseconds. */
  readonly stepMs: number;
  readonly stepMsPerSequence: number;
  readonly tokensReadPerMs: number;
  /** Tokens of one prompt that are read between two steps. */
  readonly chunkTokens: number;
  /** Tokens of prompts that are kept after their calls. */
  readonly cacheTokens: number;
  /** Tokens of one event. */
  readonly eventTokens: number;
}

interface Sequence {
  readonly events: SendEvents;
  readonly parts: readonly { readonly id: string; readonly tokens: number }[];
  unreadTokens: number;
  tokensLeft: number;
  made: number;
  isAborted: boolean;
}

/** Head of an answer of an engine that takes a call. */
const TAKEN = {
  status: 200,
  statusText: "OK",
  headers: [],
};
/** Head of an answer of one that has no room. */
const SHED = {
  status: 503,
  statusText: "Service Unavailable",
  headers: ["x-not-run", "1"],
};

/** A model engine in continuous batches, on a virtual clock. */
export class VirtualEngine {
  /** Tokens of prompts read so far. */
  readTokens = 0;
  readonly #parts: VirtualEngineParts;
  readonly #cache = new Map<string, number>();
  #running: Sequence[] = [];
  #waiting: Sequence[] = [];
  #cachedTokens = 0;
  #isStepping = false;

  /** @param parts Its speed and sizes. */
  constructor(parts: VirtualEngineParts) {
    this.#parts = parts;
  }

  /** Calls that it has. */
  get calls(): number {
    return this.#running.length + this.#waiting.length;
  }

  /** Takes a call, or sheds it. */
  send: ServerClient["send"] = ({ headers }, events) => {
    const prompt = readPrompt(headers);
    const sequence: Sequence = {
      events,
      parts: prompt.parts,
      unreadTokens: 0,
      tokensLeft: prompt.maxOutputTokens,
      made: 0,
      isAborted: false,
    };
    const { clock, queue, slots } = this.#parts;
    const isFull = this.calls >= slots + queue;
    clock.schedule(0, () => {
      if (!isFull) return;
      events.onHead(SHED);
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
    const reading = this.#running.find(({ unreadTokens }) => unreadTokens > 0);
    const chunk = Math.min(chunkTokens, reading?.unreadTokens ?? 0);
    const durationMs = stepMs + stepMsPerSequence * this.#running.length +
      chunk / tokensReadPerMs;
    clock.schedule(durationMs, () => this.#endStep(reading, chunk));
  }

  #endStep(reading: Sequence | undefined, chunk: number): void {
    this.#isStepping = false;
    if (reading !== undefined) {
      reading.unreadTokens -= chunk;
      this.readTokens += chunk;
      if (reading.unreadTokens <= 0) this.#keep(reading);
    }
    this.#running.filter(({ isAborted, unreadTokens }) =>
      unreadTokens <= 0 && !isAborted
    ).forEach((sequence) => this.#makeToken(sequence));
    this.#running = this.#running.filter(({ tokensLeft }) => tokensLeft > 0);
    this.#startStep();
  }

  #makeToken(sequence: Sequence): void {
    if (sequence.made === 0) sequence.events.onHead(TAKEN);
    const isDue = sequence.made++ % this.#parts.eventTokens === 0;
    if (isDue) {
      const text = `id: ${sequence.made}\ndata: x\n\n`;
      sequence.events.onData(Buffer.from(text));
    }
    if (--sequence.tokensLeft === 0) sequence.events.onEnd([]);
  }

  #admit(): void {
    while (this.#running.length < this.#parts.slots) {
      const next = this.#waiting.shift();
      if (next === undefined) return;
      next.unreadTokens = this.#countUnread(next);
      this.#running.push(next);
    }
  }

  #dropAborted(): void {
    const stays = ({ isAborted }: Sequence) => !isAborted;
    this.#running = this.#running.filter(stays);
    this.#waiting = this.#waiting.filter(stays);
  }

  #countUnread({ parts }: Sequence): number {
    const firstUnread = parts.findIndex(({ id }) => !this.#cache.has(id));
    const unread = firstUnread < 0 ? [] : parts.slice(firstUnread);
    return Math.max(1, unread.reduce((sum, { tokens }) => sum + tokens, 0));
  }

  /** Keeps the parts of a prompt; the least recently used yield. */
  #keep({ parts }: Sequence): void {
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
  return JSON.parse(headers[headers.indexOf(PROMPT) + 1]!);
}
