/**
 * Forwarding of plain HTTP calls, which are passed on unchanged: the choice of a server
 * for each call, its retries, and the delivery of its answer to the caller.
 *
 * @example
 * ```ts
 * import { CallForwarder } from "./forwarding/mod.ts";
 * const forwarder = new CallForwarder(parts);
 * forwarder.setTable(table);
 * await forwarder.handle(call, sink);
 * ```
 * @module
 */
export * from "./call_header_codec.ts";
export * from "./check_access.ts";
export * from "./call_gate.ts";
export * from "./http_headers.ts";
export * from "./gateway_header_codec.ts";
export * from "./server_client.ts";
export * from "./opaque_call.ts";
export * from "./refusal.ts";
export * from "./hop_headers.ts";
export * from "./answer_framing.ts";
export * from "./event_scanner.ts";
export * from "./event_framer.ts";
export * from "./prefix_cache_model.ts";
export * from "./server_speeds.ts";
export * from "./server_health.ts";
export * from "./server_liveness.ts";
export * from "./server_limits.ts";
export * from "./server_links.ts";
export * from "./server_reachability.ts";
export * from "./server_versions.ts";
export * from "./link_prober.ts";
export * from "./fleet_retry_budget.ts";
export * from "./warm_up_gate.ts";
export * from "./limit_gate.ts";
export * from "./rejection_gate.ts";
export * from "./capacity_queue.ts";
export * from "./learned_servers.ts";
export * from "./choose_server.ts";
export * from "./choose_destination.ts";
export * from "./attempt_outcome.ts";
export * from "./check_answer_head.ts";
export * from "./run_attempt.ts";
export * from "./handover.ts";
export * from "./exchange.ts";
export * from "./compute_first_byte_timeout.ts";
export * from "./settle_attempt.ts";
export * from "./event_loop_gate.ts";
export * from "./quarantine_guard.ts";
export * from "./no_capacity.ts";
export * from "./call_replies.ts";
export * from "./server_sender.ts";
export * from "./instance_sender.ts";
export * from "./can_withdraw_in_time.ts";
export * from "./call_sender.ts";
export * from "./call_forwarder.ts";
