import type { Clock } from "../clock/mod.ts";
import type { FleetView } from "../fleet/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { CallContent, CallQuarantine } from "../quarantine/mod.ts";
import type { BackendId } from "../ids/mod.ts";
import type { AttemptOutcome, EndedOutcome } from "./attempt_outcome.ts";
import type { CallReplies } from "./call_replies.ts";
import {
  canWithdrawInTime,
  type WithdrawalSources,
} from "./can_withdraw_in_time.ts";
import type { DestinationChooser } from "./choose_destination.ts";
import {
  beginHandover,
  canBeHandedOver,
  endHandover,
  type Exchange,
  releaseWithdrawn,
} from "./exchange.ts";
import type { InstanceSender } from "./instance_sender.ts";
import { computeFirstByteTimeoutMs } from "./compute_first_byte_timeout.ts";
import type { LearnedServers } from "./learned_servers.ts";
import { Handover, type HandoverEnd, type HandoverEvents } from "./handover.ts";
import type { FleetRetryBudgets, RetryPurpose } from "./fleet_retry_budget.ts";
import {
  beginNumberedSend,
  type NumberedSend,
  type RepeatReason,
  toEndedOutcome,
  toRepeatReason,
} from "./repeated_send.ts";
import type { SendOptions, ServerSender } from "./server_sender.ts";
import {
  avoidInstance,
  type SendDestination,
  settleAttempt,
  settleHandover,
} from "./settle_attempt.ts";

/** Maximum number of prompt parts that one log line names. */
const MAX_LOGGED_PARTS = 8;
/**
 * Time for which two model engines may have one call, in milliseconds. They must not work on it
 * together for 400 ms, and timers of a busy process fire 100 ms late or more. An engine in
 * another region gets more, since its answer takes a round trip.
 */
const MAX_OVERLAP_MS = { local: 200, remote: 300 } as const;
/** Attempts that a call needs for a handover, with that of the destination that has it. */
const HANDOVER_ATTEMPTS = 2;
/** Lowest HTTP status that means a failure of the server. */
const MIN_FAILURE_STATUS = 500;

/** Dependencies of a {@linkcode CallSender}. */
export interface CallSenderParts {
  readonly clock: Clock;
  readonly fleet: Pick<
    FleetView,
    "countInstancesSharingLimits" | "listResponsive"
  >;
  /** What shows whether sends can be ended in time. */
  readonly withdrawals: WithdrawalSources;
  readonly metrics: Metrics;
  readonly replies: CallReplies;
  readonly destinations: DestinationChooser;
  /** What shows whether servers are lost. */
  readonly learned: Pick<LearnedServers, "liveness">;
  readonly retryBudgets: FleetRetryBudgets;
  readonly quarantine: CallQuarantine;
  readonly serverSender: ServerSender;
  readonly instanceSender: InstanceSender;
  /** Called when a send to a server of this instance's region has ended. */
  readonly onServerFree: () => void;
}

/**
 * Sends calls to their chosen destinations, hands over calls of silent servers to other
 * destinations, and settles the outcome of each send.
 */
export class CallSender {
  readonly #parts: CallSenderParts;

  /** @param parts Senders, choice of destinations, retry budgets, quarantine and metrics. */
  constructor(parts: CallSenderParts) {
    this.#parts = parts;
  }

  /**
   * Sends a call to a destination, and follows handovers to other destinations.
   *
   * @param exchange The call.
   * @param first First destination.
   * @returns Whether the call is done. If not, another destination must be chosen.
   */
  async send(exchange: Exchange, first: SendDestination): Promise<boolean> {
    let destination = first;
    let outcome = await this.#attempt(exchange, destination);
    while (outcome.kind === "handed-over") {
      const { firstOutcome, handover } = outcome;
      endHandover(exchange);
      this.#logOutcome(exchange, destination, firstOutcome);
      settleAttempt(exchange, destination, firstOutcome);
      destination = handover.target;
      outcome = await handover.outcome;
    }
    return this.#settle(exchange, destination, outcome);
  }

  async #attempt(
    exchange: Exchange,
    destination: SendDestination,
    handoverOptions: Omit<SendOptions, "startHandover"> = {},
    reason?: RepeatReason,
  ): Promise<AttemptOutcome> {
    const nowMs = this.#parts.clock.nowMs();
    const send = beginNumberedSend(exchange, { destination, nowMs, reason });
    const outcome = await this.#sendTo(exchange, destination, {
      ...handoverOptions,
      onRemoteServers: (servers) => (send.servers = servers),
      startHandover: (events) =>
        this.#startHandover(exchange, destination, events),
    });
    const ended = toEndedOutcome(outcome);
    exchange.repeatReason = toRepeatReason(destination, ended);
    this.#recordRepeat(exchange, send, ended);
    return outcome;
  }

  async #sendTo(
    exchange: Exchange,
    destination: SendDestination,
    options: SendOptions,
  ): Promise<AttemptOutcome> {
    const { onServerFree, instanceSender, serverSender } = this.#parts;
    if (destination.kind === "remote") {
      return await instanceSender.send(exchange, destination, options);
    }
    const outcome = await serverSender.send(
      exchange,
      destination.candidate,
      options,
    );
    onServerFree();
    return outcome;
  }

  /** Records a send after the first one: why, where to, and how it ended. */
  #recordRepeat(
    exchange: Exchange,
    { destination, number, reason, servers, startMs }: NumberedSend,
    outcome: EndedOutcome,
  ): void {
    if (number === 1) return;
    const { clock, metrics, replies } = this.#parts;
    const because = reason ?? "unknown";
    const end = outcome.kind;
    const service = exchange.service.name;
    metrics.count("call.repeated_sends", 1, { service, because, end });
    replies.log(exchange, "sent again", {
      send: number,
      because,
      at: readDestinationId(destination),
      address: readDestinationAddress(destination),
      ...(servers.length === 0 ? {} : { servers: servers.join(" ") }),
      end,
      ...(outcome.kind === "answered" ? { status: outcome.status } : {}),
      tookMs: Math.round(clock.nowMs() - startMs),
    });
  }

  /** Starts a handover to a second destination. Returns `undefined` if there is none or it is not allowed. */
  #startHandover(
    exchange: Exchange,
    from: SendDestination,
    events: HandoverEvents,
  ): Handover | undefined {
    const { clock, metrics, destinations, quarantine } = this.#parts;
    const nowMs = clock.nowMs();
    const isFirstLost = this.#isLost(from);
    if (!isFirstLost && !this.#canEndOverlap(exchange, from)) return undefined;
    if (isFirstLost) releaseWithdrawn(exchange, HANDOVER_ATTEMPTS);
    if (!canBeHandedOver(exchange)) return undefined;
    if (exchange.isTrial) return undefined;
    if (quarantine.readRemainingQuarantineMs(exchange.content, nowMs) > 0) {
      return undefined;
    }
    avoidInstance(exchange, from);
    beginHandover(exchange);
    const target = destinations.choose(exchange, nowMs);
    const isSendable = target.kind === "local" || target.kind === "remote";
    const isInTime = isSendable &&
      (isFirstLost || this.#canEndOverlap(exchange, target));
    if (!isInTime || !this.#takeRetry(exchange, "handover")) {
      endHandover(exchange);
      return undefined;
    }
    metrics.count("call.offers", 1, { service: exchange.service.name });
    return new Handover({
      clock,
      target,
      overlapMs: this.#computeOverlapMs(exchange, target),
      isFirstLost: () => this.#isLost(from),
      send: ({ signal, ...options }) =>
        this.#attempt(exchange, target, {
          ...options,
          signal: AbortSignal.any([exchange.signal, signal]),
        }, "handover"),
      settle: (outcome) => {
        endHandover(exchange);
        this.#logOutcome(exchange, target, outcome);
        settleHandover(exchange, target, outcome);
      },
      onEnd: (end) =>
        this.#logHandover(exchange, { from, target, end, startMs: nowMs }),
    }, events);
  }

  /**
   * Returns whether a send can be ended before two destinations have had the call for too long.
   * Only model engines must not work on a call together.
   */
  #canEndOverlap(
    { service }: Exchange,
    destination: SendDestination,
  ): boolean {
    const nowMs = this.#parts.clock.nowMs();
    return service.engine === undefined ||
      canWithdrawInTime(destination, nowMs, this.#parts.withdrawals);
  }

  #logHandover(
    exchange: Exchange,
    { end, from, startMs, target }: {
      readonly from: SendDestination;
      readonly target: SendDestination;
      readonly end: HandoverEnd;
      /** When the handover began. */
      readonly startMs: number;
    },
  ): void {
    const { clock, metrics, replies } = this.#parts;
    const service = exchange.service.name;
    metrics.count("call.handovers", 1, { service, end });
    replies.log(exchange, "handover ended", {
      from: readDestinationId(from),
      at: readDestinationId(target),
      end,
      tookMs: Math.round(clock.nowMs() - startMs),
    });
  }

  /**
   * Returns for how long two destinations may have a call, in milliseconds, or `undefined`
   * without a limit. Model engines must not work on one call together. Elsewhere, the limit
   * lets a third destination be tried while the call has attempts left.
   */
  #computeOverlapMs(
    exchange: Exchange,
    target: SendDestination,
  ): number | undefined {
    if (exchange.service.engine !== undefined) {
      return MAX_OVERLAP_MS[target.kind];
    }
    const roundTripMs = target.kind === "local"
      ? 0
      : this.#parts.destinations.readRoundTripMs(target.region);
    const { estimateMs } = target.candidate;
    return computeFirstByteTimeoutMs(exchange, estimateMs + roundTripMs);
  }

  /** Returns whether a destination does not merely stall: nothing is heard of it for long. */
  #isLost(destination: SendDestination): boolean {
    const { clock, fleet, learned: { liveness } } = this.#parts;
    const nowMs = clock.nowMs();
    if (destination.kind === "local") {
      return liveness.isLost(readServerId(destination), nowMs);
    }
    const { member, region } = destination;
    return !fleet.listResponsive(region, nowMs)
      .some(({ id }) => id === member.id);
  }

  /** Settles the outcome of a send. Returns whether the call is done. */
  #settle(
    exchange: Exchange,
    destination: SendDestination,
    outcome: EndedOutcome,
  ): boolean {
    const { replies } = this.#parts;
    this.#logOutcome(exchange, destination, outcome);
    const step = settleAttempt(exchange, destination, outcome);
    switch (step.kind) {
      case "done":
        replies.count(exchange, "answered");
        return true;
      case "choose-again":
        return false;
      case "retry":
        releaseWithdrawn(exchange, 1);
        if (this.#takeRetry(exchange)) return false;
        replies.finishUnanswered(exchange, step.refusal);
        return true;
      case "end":
        replies.finishUnanswered(exchange, step.refusal);
        return true;
    }
  }

  /** Takes one retry from the budget that all instances share. Returns whether the call may be retried. */
  #takeRetry(exchange: Exchange, purpose: RetryPurpose = "retry"): boolean {
    const { clock, fleet, metrics, retryBudgets } = this.#parts;
    if (exchange.attemptsLeft <= 0 || exchange.signal.aborted) return false;
    const service = exchange.service.name;
    const instances = fleet.countInstancesSharingLimits();
    const nowMs = clock.nowMs();
    if (!retryBudgets.take(service, nowMs, instances, purpose)) return false;
    metrics.count("call.repeats", 1, { service });
    return true;
  }

  #logOutcome(
    exchange: Exchange,
    destination: SendDestination,
    outcome: EndedOutcome,
  ): void {
    const { metrics, replies } = this.#parts;
    const service = exchange.service.name;
    const at = readDestinationId(destination);
    switch (outcome.kind) {
      case "answered":
        if (outcome.status < MIN_FAILURE_STATUS) return;
        replies.log(exchange, "server failed", { at, status: outcome.status });
        return;
      case "failed": {
        // The failure is held back because the call may be retried.
        const { status } = outcome.answer.head;
        replies.log(exchange, "server failed", { at, status, isHeld: true });
        return;
      }
      case "given-up":
        return;
      case "rejected":
        metrics.count("call.rejected", 1, {
          service,
          by: destination.kind === "remote" ? "instance" : "server",
        });
        replies.log(exchange, "rejected", {
          at,
          isMisdirected: outcome.isMisdirected,
          sends: outcome.sends,
          ...(outcome.reason === undefined ? {} : { reason: outcome.reason }),
          ...(outcome.cooldownMs === undefined
            ? {}
            : { cooldownMs: Math.round(outcome.cooldownMs) }),
        });
        return;
      case "not-sent":
        metrics.count("call.not_sent", 1, { service });
        replies.log(exchange, "not sent", {
          at,
          reason: outcome.message,
        });
        return;
      case "no-answer":
      case "broken":
        replies.log(exchange, outcome.kind, {
          at,
          // Shows whether the same call gets no answer repeatedly.
          content: exchange.content.fingerprint,
          ...describeParts(exchange.content),
          reason: outcome.message,
        });
        return;
    }
  }
}

/** Returns the id of the server or of the remote instance. */
function readDestinationId(destination: SendDestination): string {
  return destination.kind === "remote"
    ? destination.member.id
    : readServerId(destination);
}

/** Returns the address of the server or of the remote instance. */
function readDestinationAddress(destination: SendDestination): string {
  return destination.kind === "remote"
    ? destination.member.address
    : destination.candidate.server.entry.address;
}

function readServerId(
  { candidate }: Extract<SendDestination, { readonly kind: "local" }>,
): BackendId {
  return candidate.server.entry.id;
}

/** Returns the field that shows which prompt parts calls without an answer have in common. */
function describeParts(
  { partFingerprints }: CallContent,
): { readonly parts?: string } {
  if (partFingerprints.length === 0) return {};
  return { parts: partFingerprints.slice(0, MAX_LOGGED_PARTS).join(" ") };
}
