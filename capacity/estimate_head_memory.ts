/** Copies of the text of a head that a call holds: as received, and as sent to its server. */
const TEXT_COPIES = 3;
/** Memory for a header line in the lists and tables of headers, in bytes. */
const BYTES_PER_LINE = 120;
/** Memory for an element of a header with a list, such as a part of a prompt, in bytes. */
const BYTES_PER_ELEMENT = 200;
const ELEMENT_SEPARATOR = ",";
/** Shorter elements are too short to be a part of a prompt, and take no memory of their own. */
const MIN_ELEMENT_LENGTH = 4;

/**
 * Returns an upper bound on the memory that the headers of a call take while it is in progress,
 * in bytes. It grows with the pieces of a head, which may take far more than its text.
 *
 * @param headers Header names and values, alternating.
 */
export function estimateHeadMemory(headers: readonly string[]): number {
  return headers.reduce(
    (sum, text) =>
      sum + TEXT_COPIES * text.length +
      BYTES_PER_ELEMENT * countElements(text) + BYTES_PER_LINE / 2,
    0,
  );
}

function countElements(text: string): number {
  let count = 0;
  let at = text.indexOf(ELEMENT_SEPARATOR);
  while (at >= 0) {
    count++;
    at = text.indexOf(ELEMENT_SEPARATOR, at + 1);
  }
  return Math.min(count, text.length / MIN_ELEMENT_LENGTH);
}
