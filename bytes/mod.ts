/**
 * Bytes that arrive in pieces, collected in memory that depends on their number alone.
 *
 * @example
 * ```ts
 * import { ByteCollector } from "./bytes/mod.ts";
 * const collector = new ByteCollector();
 * collector.append(Buffer.from("a"));
 * collector.append(Buffer.from("b"));
 * collector.take().toString(); // "ab"
 * ```
 * @module
 */
export * from "./byte_collector.ts";
