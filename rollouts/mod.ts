/**
 * Rollouts: moves a service's calls to servers of another version by an operator's order,
 * bounds how many calls a bad version gets, and decides whether it replaces the old one.
 *
 * @example
 * ```ts
 * import { RolloutTracker } from "./rollouts/mod.ts";
 * const tracker = new RolloutTracker({ clock, random, bounds, fleet });
 * tracker.applyServers(servers);
 * tracker.applyOrder("app", order);
 * const assignment = tracker.assign({ service: "app", region, isFirstSend: true });
 * const server = servers.find((each) => tracker.isAllowed(assignment, each));
 * const send = tracker.beginSend({ service: "app", server: server.id, route: "chat" });
 * send.end({ kind: "answered", firstByteMs: 40 });
 * ```
 * @module
 */
export { REPEATED_TEST, SEQUENTIAL_TEST } from "./canary_statistics.ts";
export type { CanaryTest } from "./canary_statistics.ts";
export * from "./compare_records.ts";
export { type PlanInput, planRecord } from "./plan_record.ts";
export * from "./rollout_tracker.ts";
export * from "./rollout_types.ts";
