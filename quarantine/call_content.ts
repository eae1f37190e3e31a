import { createHash } from "node:crypto";
import { type CallFingerprint, toCallFingerprint } from "../ids/mod.ts";

/**
 * Bytes of the hash that are kept. It names a call among thousands, and no caller
 * must be able to write a call that is taken for another one's.
 */
const HASH_BYTES = 12;

/** What is the same in a call that its caller sends again. */
export interface RepeatedParts {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  readonly body: Buffer;
}

/** The content of a call, whose fingerprint is worked out when it is first asked for. */
export class CallContent {
  readonly #parts: RepeatedParts;
  #fingerprint: CallFingerprint | undefined;

  /** @param parts What is the same in a call that is sent again. */
  constructor(parts: RepeatedParts) {
    this.#parts = parts;
  }

  /** Names the call whatever its id, and whichever instance it reaches. */
  get fingerprint(): CallFingerprint {
    this.#fingerprint ??= computeFingerprint(this.#parts);
    return this.#fingerprint;
  }
}

function computeFingerprint(
  { body, host, method, target }: RepeatedParts,
): CallFingerprint {
  const digest = createHash("sha256")
    .update(JSON.stringify([method, host, target]))
    .update(body)
    .digest();
  return toCallFingerprint(
    digest.subarray(0, HASH_BYTES).toString("base64url"),
  );
}
