import { type CallFingerprint, toCallFingerprint } from "../ids/mod.ts";
import { computeDigest } from "./compute_digest.ts";
import { toPartFingerprint } from "./part_fingerprint.ts";

/**
 * Maximum number of prompt parts by which a call is known, which bounds the work for one call.
 * Of longer prompts, the first and the last parts count.
 */
const MAX_PARTS = 1_024;

/** What other calls of a model may have in common with a call. */
export interface SharedPrompt {
  /** Name of the model; `undefined` if it is not known. */
  readonly model: string | undefined;
  /** Identifiers of the prompt parts that other calls may share, in order. */
  readonly parts: readonly string[];
}

/** Parts of a call that are the same when its caller sends it again. */
export interface CallContentParts {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  readonly body: Buffer;
  /** Shared parts of the prompt. Default: none. */
  readonly prompt?: SharedPrompt | undefined;
}

/** The content of a call; its fingerprints are computed when they are first read. */
export class CallContent {
  readonly #parts: CallContentParts;
  #fingerprint: CallFingerprint | undefined;
  #partFingerprints: readonly CallFingerprint[] | undefined;

  /** @param parts Parts of the call that are the same when it is sent again. */
  constructor(parts: CallContentParts) {
    this.#parts = parts;
  }

  /** Identifies the call, whatever its id and whichever instance it reaches. */
  get fingerprint(): CallFingerprint {
    this.#fingerprint ??= computeFingerprint(this.#parts);
    return this.#fingerprint;
  }

  /** Identifies the prompt parts that the call may share with calls of other content. */
  get partFingerprints(): readonly CallFingerprint[] {
    this.#partFingerprints ??= listPartFingerprints(this.#parts.prompt);
    return this.#partFingerprints;
  }

  /** All that the call is known by: its whole content, and each shared part of its prompt. */
  get fingerprints(): readonly CallFingerprint[] {
    return [this.fingerprint, ...this.partFingerprints];
  }
}

function computeFingerprint(
  { body, host, method, target }: CallContentParts,
): CallFingerprint {
  const head = JSON.stringify([method, host, target]);
  return toCallFingerprint(computeDigest(head, body));
}

function listPartFingerprints(
  prompt: SharedPrompt | undefined,
): readonly CallFingerprint[] {
  if (prompt === undefined || prompt.parts.length === 0) return [];
  const model = prompt.model ?? "";
  const fingerprints = pickParts(prompt.parts)
    .map((part) => toPartFingerprint({ model, part }));
  return [...new Set(fingerprints)];
}

/**
 * Returns the parts of a prompt by which calls are known: all, or the first and the last ones
 * of too many.
 */
export function pickParts<Part>(parts: readonly Part[]): readonly Part[] {
  if (parts.length <= MAX_PARTS) return parts;
  return [...parts.slice(0, MAX_PARTS / 2), ...parts.slice(-MAX_PARTS / 2)];
}
