/**
 * Quarantine of calls that crash backend servers: identifies a call by its content,
 * whatever its id and whichever instance it reaches, and refuses calls that crash each
 * server that runs them.
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
export * from "./crash_report.ts";
export * from "./call_quarantine.ts";
export * from "./crash_report_queue.ts";
