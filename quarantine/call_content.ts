import { createHash } from "node:crypto";
import { type CallFingerprint, toCallFingerprint } from "../ids/mod.ts";

/**
 * Bytes of the hash that are kept. They have to tell thousands of calls apart, and no
 * caller must be able to write a call that collides with another caller's.
 */
const HASH_BYTES = 12;

/** Parts of a call that are the same when its caller sends it again. */
export interface CallContentParts {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  readonly body: Buffer;
}

/** The content of a call; its fingerprint is computed when it is first read. */
export class CallContent {
  readonly #parts: CallContentParts;
  #fingerprint: CallFingerprint | undefined;

  /** @param parts Parts of the call that are the same when it is sent again. */
  constructor(parts: CallContentParts) {
    this.#parts = parts;
  }

  /** Identifies the call, whatever its id and whichever instance it reaches. */
  get fingerprint(): CallFingerprint {
    this.#fingerprint ??= computeFingerprint(this.#parts);
    return this.#fingerprint;
  }
}

function computeFingerprint(
  { body, host, method, target }: CallContentParts,
): CallFingerprint {
  const digest = createHash("sha256")
    .update(JSON.stringify([method, host, target]))
    .update(body)
    .digest();
  return toCallFingerprint(
    digest.subarray(0, HASH_BYTES).toString("base64url"),
  );
}
