/** Memory for a value of a parsed text, with its name where it has one, in bytes. */
const BYTES_PER_VALUE = 96;
/** Characters before which or after which a value begins. */
const VALUE_MARKS: ReadonlySet<number> = new Set(Buffer.from(",[{"));

/**
 * Returns an upper bound on the memory that a JSON text takes once it is parsed, beyond its
 * strings, in bytes: up to 28 times the text.
 *
 * @param text The text, in UTF-8.
 */
export function estimateJsonMemory(text: Buffer): number {
  let values = 0;
  // A plain loop: an array method takes several times as long for each byte.
  for (const byte of text) {
    if (VALUE_MARKS.has(byte)) values++;
  }
  return BYTES_PER_VALUE * values;
}
