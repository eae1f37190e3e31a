import { err, ok, type Result } from "neverthrow";
import { type Clock, createToken, type Random } from "../clock/mod.ts";
import {
  type AttemptId,
  type Incarnation,
  type RunKey,
  toAttemptId,
} from "../ids/mod.ts";
import type {
  BeginOutcome,
  KeptAnswer,
  RunEnd,
  RunJournal,
} from "../run_journal/mod.ts";
import { createFailure, type Failure, readRow } from "../results/mod.ts";
import {
  type Exchange,
  type Filter,
  readCall,
  type Reply,
  type ReplyEvent,
} from "./exchange.ts";

/** Dependencies of the filter that journals runs. */
export interface JournalParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly journal: RunJournal;
  readonly incarnation: Incarnation;
  /** Regions in which the store keeps its data. */
  readonly storeRegions: readonly string[];
}

/** Size of the largest answer that the journal keeps, in bytes. */
const MAX_KEPT_ANSWER_BYTES = 8_192;

/**
 * Returns the filter that lets a non-idempotent run pass at most once: the journal
 * has confirmed the entry of the run before anything is dispatched.
 *
 * @param parts Journal, clock and incarnation of this instance.
 */
export function createJournalRun(parts: JournalParts): Filter {
  return async (exchange, next) => {
    const call = readCall(exchange);
    const key = call.runKey;
    if (key === undefined || exchange.origin.kind === "peer") {
      return await next();
    }
    const attempt = toAttemptId(createToken(parts.random));
    const begun = await parts.journal.begin({
      key,
      bodyHash: call.bodyHash,
      attempt,
      holder: parts.incarnation,
      dueMs: call.dueMs,
    });
    if (begun.isErr()) return err(begun.error);
    if (begun.value.kind !== "granted") return toReply(begun.value);
    if (parts.clock.nowMs() >= call.dueMs) {
      void parts.journal.finish(key, attempt, { kind: "not-run" });
      return err(
        createFailure(
          "DEADLINE_PASSED",
          "The deadline passed while journalling",
        ),
      );
    }
    return recordRunEnd(parts, exchange, {
      key,
      attempt,
      result: await next(),
    });
  };
}

function toReply(
  outcome: Exclude<BeginOutcome, { kind: "granted" }>,
): Result<Reply, Failure> {
  switch (outcome.kind) {
    case "kept":
      return ok({
        kind: "whole",
        status: outcome.answer.status,
        headers: {
          "content-type": outcome.answer.contentType,
          "x-idempotent-replay": "true",
        },
        body: outcome.answer.body,
      });
    case "not-kept":
      return err(
        createFailure(
          "RUN_ANSWER_NOT_KEPT",
          "The run ended; its answer was not kept",
        ),
      );
    case "in-progress":
      return err(
        createFailure(
          "RUN_IN_PROGRESS",
          "A run under this key is in progress",
          {
            retryAfterMs: 1_000,
          },
        ),
      );
    case "unknown":
      return err(
        createFailure("RUN_UNKNOWN", "A run under this key may have run"),
      );
    case "mismatch":
      return err(
        createFailure(
          "KEY_BODY_MISMATCH",
          "The key was used before with another request",
        ),
      );
  }
}

function recordRunEnd(
  parts: JournalParts,
  exchange: Exchange,
  run: {
    readonly key: RunKey;
    readonly attempt: AttemptId;
    readonly result: Result<Reply, Failure>;
  },
): Result<Reply, Failure> {
  const { key, attempt, result } = run;
  const finish = (end: RunEnd) => void parts.journal.finish(key, attempt, end);
  if (result.isErr()) {
    finish(
      readRow(result.error).ran === "not-run"
        ? { kind: "not-run" }
        : { kind: "unknown" },
    );
    return result;
  }
  const reply = result.value;
  if (reply.kind === "whole") {
    finish({ kind: "ran", answer: toKeptAnswer(parts, exchange, reply) });
    return result;
  }
  const followed = followStream(reply.events, finish);
  return ok({ ...reply, events: followed });
}

/**
 * Returns the answer that the journal keeps, or `undefined` if it keeps none: it keeps
 * only small UTF-8 answers that are known to be whole, and whose residency rules allow every
 * region of the store.
 */
function toKeptAnswer(
  parts: JournalParts,
  exchange: Exchange,
  reply: Extract<Reply, { kind: "whole" }>,
): KeptAnswer | undefined {
  if (reply.mayBeCut === true) return undefined;
  const { allowedRegions } = exchange;
  const isStoreAllowed = allowedRegions === undefined ||
    parts.storeRegions.length > 0 &&
      parts.storeRegions.every((region) =>
        [...allowedRegions].some((each) => each === region)
      );
  const body = Buffer.from(reply.body);
  if (!isStoreAllowed || body.length > MAX_KEPT_ANSWER_BYTES) return undefined;
  const text = body.toString("utf8");
  if (Buffer.byteLength(text) !== body.length) return undefined;
  const contentType = reply.headers["content-type"] ??
    "application/octet-stream";
  return { status: reply.status, contentType, body: text };
}

async function* followStream(
  events: AsyncIterable<ReplyEvent>,
  finish: (end: RunEnd) => void,
): AsyncGenerator<ReplyEvent> {
  let isComplete = false;
  try {
    for await (const event of events) {
      isComplete = event.data === "[DONE]";
      yield event;
    }
  } finally {
    finish(
      isComplete ? { kind: "ran", answer: undefined } : { kind: "unknown" },
    );
  }
}
