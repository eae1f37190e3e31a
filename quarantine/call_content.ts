import { createHash } from "node:crypto";
import { type CallFingerprint, toCallFingerprint } from "../ids/mod.ts";

/**
 * Bytes of the hash that are kept. It names a call among thousands, and no caller
 * must be able to write a call that is taken for another one's.
 */
const HASH_BYTES = 12;
/** Digits of the path's part of a fingerprint. */
const PATH_DIGITS = 6;
/** Start and factor of FNV-1a, a quick hash of short texts, for 32 bits. */
const FNV_START = 0x811c9dc5;
const FNV_FACTOR = 0x01000193;

/** What is the same in a call that its caller sends again. */
export interface RepeatedParts {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  readonly body: Buffer;
}

/**
 * The content of a call. A hash of long prompts costs time on each call, so it is
 * worked out only for calls whose path is that of a call that is looked for.
 */
export class CallContent {
  readonly #parts: RepeatedParts;
  #pathKey: string | undefined;
  #fingerprint: CallFingerprint | undefined;

  /** @param parts What is the same in a call that is sent again. */
  constructor(parts: RepeatedParts) {
    this.#parts = parts;
  }

  /** The first part of the fingerprint, which depends on the path alone. */
  get pathKey(): string {
    this.#pathKey ??= computePathKey(this.#parts.target);
    return this.#pathKey;
  }

  /** Names the call whatever its id, and whichever instance it reaches. */
  get fingerprint(): CallFingerprint {
    this.#fingerprint ??= toCallFingerprint(
      this.pathKey + computeHash(this.#parts),
    );
    return this.#fingerprint;
  }
}

/** Returns the part of a fingerprint that depends on the path alone. */
export function readPathKey(fingerprint: CallFingerprint): string {
  return fingerprint.slice(0, PATH_DIGITS);
}

function computeHash({ body, host, method, target }: RepeatedParts): string {
  return createHash("sha256")
    .update(JSON.stringify([method, host, target]))
    .update(body)
    .digest()
    .subarray(0, HASH_BYTES)
    .toString("base64url");
}

function computePathKey(target: string): string {
  // A plain loop: it runs for each call while any call is looked for.
  let hash = FNV_START;
  for (let at = 0; at < target.length; at++) {
    hash = Math.imul(hash ^ target.charCodeAt(at), FNV_FACTOR);
  }
  return (hash >>> 0).toString(16).padStart(8, "0").slice(-PATH_DIGITS);
}
