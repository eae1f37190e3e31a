/**
 * Client library for callers of the gateway.
 *
 * @example
 * ```ts
 * import { Caller } from "./client/mod.ts";
 * const caller = new Caller({ entries: ["http://127.0.0.1:7101"], token: "..." });
 * const answer = await caller.call("/v1/completions", { body: { model: "m", prompt: "hello" } });
 * ```
 * @module
 */
export * from "./caller.ts";
