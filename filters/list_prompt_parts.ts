import { computeDigest, pickParts } from "../quarantine/mod.ts";

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
  const all = [...parts, ...texts].filter((part) => part !== undefined);
  return pickParts(all).map((part) => computeDigest(JSON.stringify(part)));
}
