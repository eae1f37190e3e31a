import { createHash } from "node:crypto";

/**
 * Bytes of a digest that are kept. They have to tell thousands of calls and prompt parts apart,
 * and no caller must be able to write one that collides with another caller's.
 */
const DIGEST_BYTES = 12;

/** Returns a short digest of texts and bytes in a row, as base64url. */
export function computeDigest(...chunks: readonly (string | Buffer)[]): string {
  const hash = createHash("sha256");
  chunks.forEach((chunk) => hash.update(chunk));
  return hash.digest().subarray(0, DIGEST_BYTES).toString("base64url");
}
