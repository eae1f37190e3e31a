import type { Result } from "neverthrow";
import type { Clock } from "../clock/mod.ts";
import {
  type BackendAnswer,
  type DispatchFailure,
  END_OF_STREAM,
  type StreamEvent,
} from "../engine/mod.ts";
import type { AttemptId } from "../ids/mod.ts";
import { createContinuation, Delivered, EventSequence } from "../relay/mod.ts";
import { createFailure, type Failure, toErrorBody } from "../results/mod.ts";
import type { Exchange, ReplyEvent } from "./exchange.ts";
import { readCall } from "./exchange.ts";
import { readDeadline } from "./serve_here.ts";

/** How a stream ended. */
export type StreamOutcome = "whole" | "cancelled" | "broken";

/** Where a stream comes from, and how to go on with it. */
export interface Source {
  readonly attempt: AttemptId;
  /** Called at the first event. */
  readonly recordFirstToken: () => void;
  /** Takes the same stream up again. */
  readonly resume: (
    afterIndex: number,
    signal: AbortSignal,
  ) => Promise<Result<BackendAnswer, DispatchFailure>>;
  /** Has another server go on; `undefined` when none may. */
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
  /** Called once, at the end. */
  readonly end: (outcome: StreamOutcome, tokens: number) => void;
}

/** What relaying needs. */
export interface RelayParts {
  readonly clock: Clock;
}

const MAX_CONTINUATIONS = 2;

/**
 * Relays a stream whole: each event once and in order. A stream that breaks is
 * resumed at its server, else continued elsewhere if the call is idempotent,
 * else ended by a numbered error event; it never ends silently.
 *
 * @param parts The clock.
 * @param exchange The request.
 * @param stream Source and first events.
 */
export async function* relayStream(
  parts: RelayParts,
  exchange: Exchange,
  stream: {
    readonly source: Source;
    readonly events: AsyncIterable<StreamEvent>;
  },
): AsyncGenerator<ReplyEvent> {
  const { source } = stream;
  const call = readCall(exchange);
  const signal = readDeadline(parts.clock, exchange);
  const delivered = new Delivered();
  const writer = createEventWriter(exchange);
  let events: AsyncIterable<StreamEvent> | undefined = stream.events;
  let sequence = new EventSequence(source.attempt);
  let continuations = 0;
  let hasResumed = false;
  let hasFirstToken = false;
  let outcome: StreamOutcome = "cancelled";
  try {
    while (events !== undefined) {
      for await (const data of readInOrder(events, sequence)) {
        if (!hasFirstToken) source.recordFirstToken();
        hasFirstToken = true;
        yield writer(delivered.record(data, continuations > 0));
      }
      if (sequence.isEnded) {
        outcome = "whole";
        yield writer(END_OF_STREAM);
        return;
      }
      events = undefined;
      if (exchange.request.signal.aborted) return;
      if (signal.aborted) break;
      if (!hasResumed) {
        hasResumed = true;
        const resumed = await source.resume(sequence.nextIndex - 1, signal);
        events = readEvents(resumed);
      }
      if (events !== undefined) continue;
      if (
        !call.isIdempotent || continuations >= MAX_CONTINUATIONS ||
        call.kind !== "model"
      ) break;
      const body = createContinuation(call.json, delivered);
      const next = body && await source.continueElsewhere(body, signal);
      events = next && readEvents(next.result);
      if (next === undefined || events === undefined) break;
      continuations++;
      hasResumed = false;
      sequence = new EventSequence(next.attempt);
    }
    outcome = "broken";
    yield writer(
      JSON.stringify(toErrorBody(createBreak(signal, delivered.tokens))),
    );
    // To the entry the error is the end: it was for this region to retry, and it did.
    if (exchange.origin.kind === "peer") yield writer(END_OF_STREAM);
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
    // A stream that throws is a stream that ends early: the caller looks at the sequence.
  }
}

function readEvents(
  result: Result<BackendAnswer, DispatchFailure>,
): AsyncIterable<StreamEvent> | undefined {
  return result.isOk() && result.value.kind === "stream"
    ? result.value.events
    : undefined;
}

/** Events to peers carry the peer's attempt and an index, so that it can check them. */
function createEventWriter(exchange: Exchange): (data: string) => ReplyEvent {
  const { origin } = exchange;
  if (origin.kind === "caller") return (data) => ({ data });
  let index = 0;
  return (data) => ({ data, id: `${origin.attempt}/${index++}` });
}

function createBreak(signal: AbortSignal, tokens: number): Failure {
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
