/**
 * Calls under which backend servers end: which call is the same one, whatever its
 * id and whichever instance it reaches, and which calls are refused since they end
 * each server that runs them.
 *
 * @example
 * ```ts
 * import { CallContent, CallQuarantine } from "./quarantine/mod.ts";
 * const content = new CallContent({ method, host, target, body });
 * const quarantine = new CallQuarantine();
 * quarantine.recordEnd(content, server, nowMs);
 * const heldMs = quarantine.readHeldMs(content, nowMs);
 * ```
 * @module
 */
export * from "./call_content.ts";
export * from "./reported_ends.ts";
export * from "./call_quarantine.ts";
export * from "./ends_queue.ts";
