/**
 * State in the store that instances follow and copy to each other: configuration,
 * servers, evacuations, refused calls, and the entries of instances.
 *
 * @example
 * ```ts
 * import { StateFollower } from "./state/mod.ts";
 * await new StateFollower(parts).run(signal);
 * ```
 * @module
 */
export * from "./state_document.ts";
export * from "./removal_log.ts";
export * from "./state_source.ts";
export * from "./merge_state.ts";
export * from "./document_cache.ts";
export * from "./evaluate_server_entry.ts";
export * from "./retained_documents.ts";
export * from "./server_entries.ts";
export * from "./rollout_documents.ts";
export * from "./rollout_entries.ts";
export * from "./state_in_force.ts";
export * from "./state_follower.ts";
export * from "./instance_entry.ts";
export * from "./refused_call_entries.ts";
