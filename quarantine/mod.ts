/**
 * Quarantine of calls that crash backend servers: identifies a call by its content and by
 * the parts of its prompt, whatever its id and whichever instance it reaches, and refuses
 * calls that crash each server that runs them.
 *
 * @example
 * ```ts
 * import { CallContent, CallQuarantine } from "./quarantine/mod.ts";
 * const content = new CallContent({ method, host, target, body });
 * const quarantine = new CallQuarantine();
 * quarantine.recordCrash(content, server, nowMs);
 * const verdict = quarantine.admit(content, nowMs);
 * ```
 * @module
 */
export * from "./call_content.ts";
export * from "./compute_digest.ts";
export * from "./crash_report.ts";
export * from "./call_quarantine.ts";
export * from "./crash_report_queue.ts";
export * from "./crash_row.ts";
export * from "./part_fingerprint.ts";
export { QUARANTINE_MS } from "./suspect_list.ts";
