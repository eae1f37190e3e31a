/**
 * Stand-ins (test doubles) for the platform, model engines and plain services.
 * Tests, benchmarks and the embedded deployment use them.
 *
 * @example
 * ```ts
 * import { PlatformServer } from "./standin/mod.ts";
 * const platform = new PlatformServer(clock);
 * await platform.start();
 * ```
 * @module
 */
export * from "./answer_text.ts";
export * from "./engine_core.ts";
export * from "./engine_server.ts";
export * from "./memory_store.ts";
export * from "./plain_server.ts";
export * from "./platform_server.ts";
export * from "./fake_backend.ts";
export * from "./fake_fleet.ts";
export * from "./fake_network.ts";
