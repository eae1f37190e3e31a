/** Names and descriptions of all metrics. A test checks that `docs/METRICS.md` has the same table. */
export const METRICS = {
  "request.count": "counter; tags: service, result",
  "request.total_ms": "timing; tags: service",
  "request.first_token_ms": "timing; tags: service",
  "request.in_flight": "gauge",
  "route.count": "counter; tags: service, route (home, away, received)",
  "queue.length": "gauge; tags: service",
  "store.circuit": "gauge; 0 closed, 1 open or half-open",
  "configuration.sequence": "gauge",
  "configuration.stale": "counter",
  "membership.live": "gauge",
  "membership.sent_bytes": "counter",
  "membership.received_bytes": "counter",
  "journal.records": "gauge",
  "usage.flush_failed": "counter",
  "batch.items_done": "counter",
  "placement.orders": "counter",
  "call.count": "counter; tags: service, result",
  "call.total_ms": "timing; tags: service",
  "call.first_byte_ms": "timing; tags: service",
  "call.in_flight": "gauge",
  "call.waiting": "gauge",
  "call.head_bytes":
    "gauge; estimated memory for the heads of calls in progress, in bytes",
  "call.body_bytes":
    "gauge; memory for the bodies of calls in progress, in bytes",
  "call.repeats": "counter; tags: service",
  "call.repeated_sends":
    "counter; sends of calls after the first one; tags: service, because (not-sent, misdirected, rejected, refused, failed, no-answer, handover, unknown), end (answered, failed, not-sent, rejected, no-answer, broken, given-up)",
  "call.duplicates":
    "counter; sends of other instances that arrived a second time",
  "call.offers": "counter; tags: service",
  "call.handovers":
    "counter; handovers of calls from silent destinations; tags: service, end (answered, taken, not-taken, refused, first-answered, first-ended, given-up)",
  "call.away": "counter; tags: service, region",
  "call.not_sent":
    "counter; sends of which no byte left, as no connection opened; tags: service",
  "call.rejected":
    "counter; sends refused as not run; tags: service, by (server, instance)",
  "call.mismatched_answers":
    "counter; answers not taken for those of the calls that waited for them; tags: service, reason (names-another-call, names-no-call, names-another-send, unmarked-refusal, unsigned)",
  "call.answer_ends":
    "counter; ends of servers' answers; tags: service, framing (empty, length, chunked, connection), how (whole, inside-event, broken)",
  "state.configuration_version": "gauge",
  "state.store_revision": "gauge",
  "state.store_era":
    "gauge; number of times the store was restored from an older copy",
  "state.store_reachable": "gauge; 1 answers, 0 does not",
  "fleet.live": "gauge",
  "fleet.summarized": "gauge; members that get summaries from this instance",
  "directory.answers":
    "counter; tags: choice (near, home, leaving, usual, elsewhere, none)",
  "call.not_let_in":
    "counter; tags: reason (unauthenticated, residency, over-limit)",
  "team.calls": "counter; tags: team, result (admitted, refused, given-back)",
  "team.weight": "counter; tags: team, result (admitted, refused, given-back)",
  "call.overloaded": "counter",
  "capacity.cores":
    "gauge; capacity that the instance reports at present, in cores",
  "loop.delay_ms": "gauge; longest time that the bytes read now have waited",
  "loop.stalls":
    "counter; times for which the process ran no timer and read no bytes",
  "servers.limited":
    "gauge; servers that advertise a limit of calls per second",
  "servers.unreachable":
    "gauge; servers to which this instance can open no connection",
  "servers.crashed":
    "counter; servers that crashed while they had calls of this instance; tags: service",
  "process.errors":
    "counter; errors that no code has taken; tags: kind (rejection, exception)",
  "quarantine.held":
    "gauge; calls and prompt parts refused because they crashed servers",
  "quarantine.parts":
    "gauge; prompt parts refused because calls with them crashed servers",
  "quarantine.trials":
    "counter; quarantined calls sent to learn whether they still crash servers",
  "quarantine.suspects":
    "gauge; calls recorded because a server crashed while it had them",
  "rollout.phase":
    "gauge; phase of the latest order: 1 trial, 2 ramp, 3 switch, 4 completed, 5 rolled back; tags: service, version",
  "rollout.previous_calls":
    "gauge; calls in flight at servers of versions that the order replaces; tags: service",
  "rollout.responses":
    "gauge; responses that this instance counted for the running order; tags: service, version (in-force, ordered), result (good, failed)",
  "rollout.found_bad":
    "counter; versions that this instance found bad, or was told are bad; tags: service",
  "rollout.writes":
    "counter; writes of a rollout's record or status; tags: entry (record, status), result (written, conflict, failed)",
} as const;

/** Name of a metric. */
export type MetricName = keyof typeof METRICS;

/** Tags of one metric value. */
export type MetricTags = Readonly<Record<string, string>>;

/** Receiver of metric values. */
export interface Metrics {
  /** Adds to a counter. */
  count(name: MetricName, by?: number, tags?: MetricTags): void;
  /** Sets a gauge. */
  gauge(name: MetricName, value: number, tags?: MetricTags): void;
  /** Records a duration in milliseconds. */
  time(name: MetricName, valueMs: number, tags?: MetricTags): void;
}

/** Receiver that discards all metric values. */
export const NO_METRICS: Metrics = {
  count: () => {},
  gauge: () => {},
  time: () => {},
};
