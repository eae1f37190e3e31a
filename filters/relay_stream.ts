import type { Result } from "neverthrow";
import type { Clock } from "../clock/mod.ts";
import {
  type BackendAnswer,
  type DispatchFailure,
  END_OF_STREAM,
  type StreamEvent,
} from "../engine/mod.ts";
import type { AttemptId } from "../ids/mod.ts";
import {
  createContinuation,
  DeliveredStream,
  EventSequence,
} from "../relay/mod.ts";
import { createFailure, type Failure, toErrorBody } from "../results/mod.ts";
import type { Exchange, ReplyEvent } from "./exchange.ts";
import { readCall } from "./exchange.ts";
import { getDeadlineSignal } from "./serve_locally.ts";

/** How a stream ended. */
export type StreamOutcome = "whole" | "cancelled" | "broken";

/** Where a stream comes from, how it is resumed or continued, and who is told of its end. */
export interface StreamSource {
  readonly attempt: AttemptId;
  /** Called at the first event. */
  readonly recordFirstToken: () => void;
  /** Resumes the same stream after the event with a given index. */
  readonly resume: (
    afterIndex: number,
    signal: AbortSignal,
  ) => Promise<Result<BackendAnswer, DispatchFailure>>;
  /** Has another server continue the answer; `undefined` if none may. */
  readonly continueElsewhere: (
    body: Readonly<Record<string, unknown>>,
    signal: AbortSignal,
  ) => Promise<
    | {
      readonly attempt: AttemptId;
      readonly result: Result<BackendAnswer, DispatchFailure>;
    }
    | undefined
  >;
  /** Called once at the end, with the number of tokens delivered. */
  readonly end: (outcome: StreamOutcome, tokens: number) => void;
}

/** Dependencies of relaying. */
export interface RelayParts {
  readonly clock: Clock;
}

const MAX_CONTINUATIONS = 2;

/**
 * Relays each event of a stream once and in order. A stream that breaks is resumed
 * at its server; if that fails, it is continued elsewhere if the call is idempotent;
 * else it ends with an error event that holds a result code. It never ends silently.
 *
 * @param parts The clock.
 * @param exchange The request, with its parsed call.
 * @param stream Source of the stream, and its events until the first break.
 */
export async function* relayStream(
  parts: RelayParts,
  exchange: Exchange,
  stream: {
    readonly source: StreamSource;
    readonly events: AsyncIterable<StreamEvent>;
  },
): AsyncGenerator<ReplyEvent> {
  const { source } = stream;
  const call = readCall(exchange);
  const signal = getDeadlineSignal(parts.clock, exchange);
  const delivered = new DeliveredStream();
  const toReplyEvent = createEventWriter(exchange);
  let events: AsyncIterable<StreamEvent> | undefined = stream.events;
  let sequence = new EventSequence(source.attempt);
  let continuations = 0;
  let hasTriedResume = false;
  let hasFirstToken = false;
  let outcome: StreamOutcome = "cancelled";
  try {
    while (events !== undefined) {
      for await (const data of readInOrder(events, sequence)) {
        if (!hasFirstToken) source.recordFirstToken();
        hasFirstToken = true;
        yield toReplyEvent(delivered.record(data, continuations > 0));
      }
      if (sequence.isEnded) {
        outcome = "whole";
        yield toReplyEvent(END_OF_STREAM);
        return;
      }
      events = undefined;
      if (exchange.request.signal.aborted) return;
      if (signal.aborted) break;
      if (!hasTriedResume) {
        hasTriedResume = true;
        const resumed = await source.resume(sequence.nextIndex - 1, signal);
        events = readEvents(resumed);
      }
      if (events !== undefined) continue;
      if (
        !call.isIdempotent || continuations >= MAX_CONTINUATIONS ||
        call.kind !== "model"
      ) break;
      const body = createContinuation(call.json, delivered);
      const continued = body && await source.continueElsewhere(body, signal);
      events = continued && readEvents(continued.result);
      if (continued === undefined || events === undefined) break;
      continuations++;
      hasTriedResume = false;
      sequence = new EventSequence(continued.attempt);
    }
    outcome = "broken";
    yield toReplyEvent(
      JSON.stringify(toErrorBody(createBreakFailure(signal, delivered.tokens))),
    );
    // The instance that forwarded the call takes the error as the end of the stream and
    // does not retry: retries were up to this region, which has made them.
    if (exchange.origin.kind === "peer") yield toReplyEvent(END_OF_STREAM);
  } finally {
    source.end(outcome, delivered.tokens);
  }
}

async function* readInOrder(
  events: AsyncIterable<StreamEvent>,
  sequence: EventSequence,
): AsyncGenerator<string> {
  try {
    for await (const event of events) {
      const step = sequence.apply(event);
      if (step.kind === "gap") return;
      yield* step.data;
      if (step.isEnded) return;
    }
  } catch {
    // An error counts as an early end of the stream; the caller of this function checks
    // the sequence.
  }
}

function readEvents(
  result: Result<BackendAnswer, DispatchFailure>,
): AsyncIterable<StreamEvent> | undefined {
  return result.isOk() && result.value.kind === "stream"
    ? result.value.events
    : undefined;
}

/**
 * Returns a function that wraps data in a reply event. Events to a peer carry the
 * peer's attempt id and an index, by which the peer checks their order.
 */
function createEventWriter(exchange: Exchange): (data: string) => ReplyEvent {
  const { origin } = exchange;
  if (origin.kind === "caller") return (data) => ({ data });
  let index = 0;
  return (data) => ({ data, id: `${origin.attempt}/${index++}` });
}

function createBreakFailure(signal: AbortSignal, tokens: number): Failure {
  if (signal.aborted) {
    return createFailure(
      "TIMEOUT",
      `The deadline passed after ${tokens} tokens`,
    );
  }
  return createFailure(
    "STREAM_BROKEN",
    `The stream broke after ${tokens} tokens`,
    {
      details: { tokens },
    },
  );
}
