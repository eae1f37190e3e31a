/**
 * Calls under which backend servers end: which call is the same one, whatever its
 * id and whichever instance it reaches.
 *
 * @example
 * ```ts
 * import { CallContent } from "./quarantine/mod.ts";
 * const content = new CallContent({ method, host, target, body });
 * console.log(content.fingerprint);
 * ```
 * @module
 */
export * from "./call_content.ts";
