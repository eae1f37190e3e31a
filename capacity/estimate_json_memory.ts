/** Memory for a value of a parsed text, with its name where it has one, in bytes. */
const BYTES_PER_VALUE = 96;
/** Is 1 at the codes of characters after which a value begins. */
const BEGINS_VALUE = new Uint8Array(256);
Buffer.from(",[{").forEach((code) => BEGINS_VALUE[code] = 1);

/**
 * Returns an upper bound on the memory that a JSON text takes once it is parsed, beyond its
 * strings, in bytes: up to 28 times the text.
 *
 * @param text The text, in UTF-8.
 */
export function estimateJsonMemory(text: Buffer): number {
  let values = 0;
  // A plain loop: an array method takes several times as long for each byte.
  for (let at = 0; at < text.length; at++) values += BEGINS_VALUE[text[at]!]!;
  return BYTES_PER_VALUE * values;
}
