import { createHash } from "node:crypto";

/**
 * Bytes of each hash that are kept: no caller must be able to write a text that collides with
 * another caller's.
 */
const HASH_BYTES = 12;

/**
 * Returns the identifiers of the parts of a prompt that other calls may contain, too: its
 * messages, and the text of a completion. Calls that differ in all else have them in common.
 *
 * @param json Body of a call of a model.
 */
export function listPromptParts(
  { messages, prompt }: Readonly<Record<string, unknown>>,
): readonly string[] {
  const parts = Array.isArray(messages) ? messages : [];
  const texts = Array.isArray(prompt) ? prompt : [prompt];
  return [...parts, ...texts].filter((part) => part !== undefined)
    .map((part) => hashPart(JSON.stringify(part)));
}

function hashPart(text: string): string {
  return createHash("sha256").update(text).digest()
    .subarray(0, HASH_BYTES).toString("base64url");
}
