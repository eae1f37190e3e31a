import type { ServerResponse } from "node:http";
import { resetConnection } from "../adapters/reset_connection.ts";
import { systemClock } from "../adapters/system_clock.ts";
import { waitFor } from "../clock/mod.ts";

/** How a server frames an answer, and where and how it ends it. */
export interface AnswerCut {
  /** Whether the answer is in chunks, or only the end of the connection ends it. */
  readonly isChunked: boolean;
  readonly endsWithReset: boolean;
  /** Share of the body that is sent, from 0 to 1; `undefined`: only a part of the head is. */
  readonly share: number | undefined;
}

/** An answer of which a part is sent. */
export interface CutAnswer {
  readonly headers: Readonly<Record<string, string>>;
  /** Parts of the body, which are sent one after the other. */
  readonly parts: readonly string[];
  /** Pause between two parts, in milliseconds. */
  readonly pauseMs: number;
  readonly cut: AnswerCut;
}

/** Fraction of the golden ratio: its multiples cover all moments of an answer evenly. */
const MOMENT_STEP = 0.618;
/** One in so many answers is sent as a whole. */
const WHOLE_INTERVAL = 4;
/** One in so many answers, not counting those in chunks, is cut within its head. */
const HEAD_INTERVAL = 7;
/** The beginning of a head. */
const HEAD_PART = "HTTP/1.1 200 OK\r\nContent-Ty";

/** Returns the cuts of answers, one after the other: by end and reset, at each moment. */
export function* createCuts(): Generator<AnswerCut, never> {
  for (let index = 0;; index++) {
    const isWhole = index % WHOLE_INTERVAL === 0;
    const share = isWhole ? 1 : (index * MOMENT_STEP) % 1;
    const isInHead = !isWhole && index % HEAD_INTERVAL === 0;
    yield {
      isChunked: false,
      endsWithReset: !isWhole && index % 2 === 0,
      share: isInHead ? undefined : share,
    };
    // A last chunk ends an answer that has not been cut; only within an event is that wrong.
    yield {
      isChunked: true,
      endsWithReset: false,
      share: (index * MOMENT_STEP) % 1,
    };
  }
}

/**
 * Sends a part of an answer. In chunks, the body ends within its last line: that of a stream
 * within an event.
 */
export async function sendCutAnswer(
  response: ServerResponse,
  { cut, headers, parts, pauseMs }: CutAnswer,
): Promise<void> {
  if (cut.share === undefined) {
    response.socket?.write(HEAD_PART, () => endConnection(response, cut));
    return;
  }
  const size = parts.reduce((sum, part) => sum + part.length, 0);
  const offset = Math.round(cut.share * size);
  let left = cut.isChunked ? moveIntoEvent(parts.join(""), offset) : offset;
  response.useChunkedEncodingByDefault = cut.isChunked;
  response.writeHead(200, headers);
  response.flushHeaders();
  for (const part of parts) {
    if (response.destroyed) return;
    if (left > 0) response.write(part.slice(0, left));
    left -= part.length;
    if (left <= 0) break;
    await waitFor(systemClock, pauseMs);
  }
  endConnection(response, cut);
}

/** Ends a connection by a reset, or normally after what has been sent. */
function endConnection(
  response: ServerResponse,
  { endsWithReset, share }: AnswerCut,
): void {
  const { socket } = response;
  if (endsWithReset && socket !== null) resetConnection(socket);
  else if (share === undefined) socket?.end();
  else response.end();
}

/** Returns an offset that is not between two events. */
function moveIntoEvent(text: string, offset: number): number {
  const isBetween = offset === 0 || text.slice(0, offset).endsWith("\n\n");
  return isBetween ? offset + 1 : offset;
}
