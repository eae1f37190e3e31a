import { ByteCollector } from "../bytes/mod.ts";

/**
 * Maximum size of an answer that is read whole, in bytes: far more than the store, other
 * instances or plain services send.
 */
export const MAX_ANSWER_BYTES = 67_108_864;
/** Maximum size of a line of a stream, in bytes. */
const MAX_LINE_BYTES = 4_194_304;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Body of an answer, in pieces of any size. */
export type AnswerBody = AsyncIterable<Buffer>;

/**
 * Reads the body of an answer. An undici body that is read whole keeps a list of its pieces.
 *
 * @param body The body.
 * @param maxBytes Maximum size, beyond which the result rejects. Default: 64 MiB.
 */
export async function readAnswer(
  body: AnswerBody,
  maxBytes = MAX_ANSWER_BYTES,
): Promise<Buffer> {
  const collector = new ByteCollector();
  for await (const piece of body) {
    collector.append(piece);
    checkSize(collector, maxBytes);
  }
  return collector.take();
}

/** Reads the body of an answer as UTF-8, as {@linkcode readAnswer} does. */
export async function readAnswerText(
  body: AnswerBody,
  maxBytes?: number,
): Promise<string> {
  return (await readAnswer(body, maxBytes)).toString("utf8");
}

/**
 * Yields the bytes of a stream, each time up to the end of a line. A line that has not ended
 * with the stream is left out.
 *
 * @param body The stream.
 * @param maxLineBytes Maximum size of a line, beyond which it rejects. Default: 4 MiB.
 */
export async function* readWholeLines(
  body: AnswerBody,
  maxLineBytes = MAX_LINE_BYTES,
): AsyncGenerator<Buffer> {
  const pending = new ByteCollector();
  for await (const piece of body) {
    const end = findLastLineEnd(piece);
    if (end > 0) {
      pending.append(piece.subarray(0, end));
      yield pending.take();
    }
    pending.append(piece.subarray(end));
    checkSize(pending, maxLineBytes);
  }
}

function findLastLineEnd(piece: Buffer): number {
  return 1 + Math.max(
    piece.lastIndexOf(LINE_FEED),
    piece.lastIndexOf(CARRIAGE_RETURN),
  );
}

function checkSize({ size }: ByteCollector, maxBytes: number): void {
  if (size <= maxBytes) return;
  throw new Error(`Cannot read the answer: it is over ${maxBytes} bytes`);
}
