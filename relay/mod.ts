/**
 * Complete streamed answers: events of one attempt, each once and in order, and
 * requests that make another engine continue after a broken stream.
 *
 * @example
 * ```ts
 * import { EventSequence } from "./relay/mod.ts";
 * new EventSequence("a1").apply({ attempt: "a2", index: 0, data: "x" }); // nothing to deliver
 * ```
 * @module
 */
export * from "./continuation.ts";
export * from "./event_sequence.ts";
