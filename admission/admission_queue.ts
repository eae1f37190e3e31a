import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../clock/mod.ts";
import type { TeamId } from "../ids/mod.ts";
import { createFailure, type Failure } from "../results/mod.ts";
import { PRIORITIES, type Priority } from "./priority.ts";

/** A request for admission of a call. */
export interface AdmissionRequest {
  readonly team: TeamId;
  readonly priority: Priority;
  /** Deadline of the answer, in milliseconds since the epoch. */
  readonly dueMs: number;
  /** Estimated duration of the work, in milliseconds. */
  readonly workMs: number;
  /** Aborts when the caller has disconnected. */
  readonly signal: AbortSignal;
}

/** Success if the request was admitted, otherwise the reason for its refusal. */
export type AdmissionResult = Result<void, Failure>;

/** Constructor arguments of {@linkcode AdmissionQueue}. */
export interface AdmissionQueueParts {
  readonly clock: Clock;
  /** Returns whether there is capacity to start a request of a class now. */
  readonly hasCapacity: (priority: Priority) => boolean;
  /** Called for each admitted request, before the next one is considered. */
  readonly recordStart: (priority: Priority) => void;
}

/** Options of {@linkcode AdmissionQueue}. */
export interface AdmissionQueueOptions {
  /** Maximum number of waiting requests. Default: 1,000. */
  readonly maxLength?: number;
  /** Maximum wait of an interactive request, in milliseconds. Default: 2,000. */
  readonly maxInteractiveWaitMs?: number;
}

interface WaitingRequest {
  readonly request: AdmissionRequest;
  readonly order: number;
  readonly settle: (result: AdmissionResult) => void;
}

const DEFAULT_MAX_LENGTH = 1_000;
const DEFAULT_INTERACTIVE_WAIT_MS = 2_000;
const SWEEP_INTERVAL_MS = 20;
const RATE_WINDOW_MS = 2_000;
const FAIRNESS_DECAY = 0.98;
const MIN_RETRY_MS = 100;

/**
 * Admits requests while there is capacity, and queues the others: higher classes
 * first, within a class the team with the fewest recent admissions, within a
 * team the earliest deadline. Requests that cannot complete in time are refused
 * at once.
 */
export class AdmissionQueue {
  /** Number of refused requests, by reason. */
  readonly refused = { overloaded: 0, late: 0, shed: 0 };
  readonly #parts: AdmissionQueueParts;
  readonly #maxLength: number;
  readonly #maxInteractiveWaitMs: number;
  readonly #waiting = new Map<Priority, WaitingRequest[]>(
    PRIORITIES.map((priority) => [priority, []]),
  );
  readonly #recentStarts = new Map<TeamId, number>();
  #startTimesMs: number[] = [];
  #nextOrder = 0;
  #isSweeping = false;

  /**
   * @param parts Clock and capacity.
   * @param options Bounds of the queue.
   */
  constructor(parts: AdmissionQueueParts, options: AdmissionQueueOptions = {}) {
    this.#parts = parts;
    this.#maxLength = options.maxLength ?? DEFAULT_MAX_LENGTH;
    this.#maxInteractiveWaitMs = options.maxInteractiveWaitMs ??
      DEFAULT_INTERACTIVE_WAIT_MS;
  }

  /** Number of waiting requests. */
  get length(): number {
    return PRIORITIES.reduce(
      (sum, priority) => sum + this.#getQueue(priority).length,
      0,
    );
  }

  /**
   * Resolves when the request may start, or with the reason for its refusal. The
   * owner of the queue calls {@linkcode wake} when capacity may have become free.
   *
   * @param request Team, class, deadline and estimated duration of the call.
   */
  admit(request: AdmissionRequest): Promise<AdmissionResult> {
    const nowMs = this.#parts.clock.nowMs();
    if (request.dueMs <= nowMs + request.workMs) {
      this.refused.late++;
      return Promise.resolve(err(createLateFailure(request, nowMs)));
    }
    if (
      this.#countWaitingUpTo(request.priority) === 0 &&
      this.#parts.hasCapacity(request.priority)
    ) {
      this.#recordStart(request, nowMs);
      return Promise.resolve(ok(undefined));
    }
    const refusal = this.#refuseEarly(request, nowMs);
    if (refusal !== undefined) return Promise.resolve(err(refusal));
    return new Promise((resolve) => this.#enqueue(request, resolve));
  }

  /** Refuses requests that can no longer complete in time, and admits others up to the capacity. */
  wake(): void {
    const nowMs = this.#parts.clock.nowMs();
    this.#refuseLate(nowMs);
    PRIORITIES.forEach((priority) => {
      while (
        this.#getQueue(priority).length > 0 && this.#parts.hasCapacity(priority)
      ) {
        const next = this.#takeNext(priority);
        this.#recordStart(next.request, nowMs);
        next.settle(ok(undefined));
      }
    });
  }

  /** Estimates how long a new request of a class would wait, in milliseconds. */
  estimateWaitMs(priority: Priority, nowMs: number): number {
    const ahead = this.#countWaitingUpTo(priority);
    if (ahead === 0) return 0;
    this.#startTimesMs = this.#startTimesMs.filter((startMs) =>
      nowMs - startMs < RATE_WINDOW_MS
    );
    const perMs = Math.max(1, this.#startTimesMs.length) / RATE_WINDOW_MS;
    return ahead / perMs;
  }

  #getQueue(priority: Priority): WaitingRequest[] {
    return this.#waiting.get(priority)!;
  }

  #countWaitingUpTo(priority: Priority): number {
    return PRIORITIES.slice(0, PRIORITIES.indexOf(priority) + 1)
      .reduce((sum, each) => sum + this.#getQueue(each).length, 0);
  }

  #refuseEarly(request: AdmissionRequest, nowMs: number): Failure | undefined {
    const waitMs = this.estimateWaitMs(request.priority, nowMs);
    const leftMs = request.dueMs - nowMs - request.workMs;
    const maxWaitMs = request.priority === "interactive"
      ? Math.min(leftMs, this.#maxInteractiveWaitMs)
      : leftMs;
    if (waitMs > maxWaitMs && !this.#makeRoomFor(request)) {
      this.refused.overloaded++;
      return createOverloadedFailure(waitMs - maxWaitMs);
    }
    if (this.length < this.#maxLength) return undefined;
    if (this.#shedBelow(request.priority)) return undefined;
    this.refused.overloaded++;
    return createOverloadedFailure(waitMs);
  }

  /**
   * Makes room for a team with less than its share of a full queue by refusing
   * the newest waiting request of the team that has the most.
   */
  #makeRoomFor(request: AdmissionRequest): boolean {
    const queue = this.#getQueue(request.priority);
    const byTeam = new Map<TeamId, number>();
    queue.forEach(({ request: { team } }) =>
      byTeam.set(team, (byTeam.get(team) ?? 0) + 1)
    );
    const [largestTeam, count] = [...byTeam].reduce(
      (first, other) => other[1] > first[1] ? other : first,
      [request.team, 0] as [TeamId, number],
    );
    if (count <= (byTeam.get(request.team) ?? 0) + 1) return false;
    const at = queue.findLastIndex((waiting) =>
      waiting.request.team === largestTeam
    );
    const [shed] = queue.splice(at, 1);
    this.refused.shed++;
    shed!.settle(err(createOverloadedFailure(RATE_WINDOW_MS)));
    return true;
  }

  /** Makes room by refusing the newest request of the lowest waiting class below this one. */
  #shedBelow(priority: Priority): boolean {
    const lower = PRIORITIES.slice(PRIORITIES.indexOf(priority) + 1)
      .toReversed();
    const from = lower.find((each) => this.#getQueue(each).length > 0);
    if (from === undefined) return false;
    this.refused.shed++;
    this.#getQueue(from).pop()!.settle(
      err(createOverloadedFailure(RATE_WINDOW_MS)),
    );
    return true;
  }

  #enqueue(
    request: AdmissionRequest,
    resolve: (result: AdmissionResult) => void,
  ): void {
    const cancel = () => {
      const queue = this.#getQueue(request.priority);
      const at = queue.indexOf(waiting);
      if (at < 0) return;
      queue.splice(at, 1);
      resolve(
        err(
          createFailure(
            "CANCELLED",
            "The caller went away while the request waited",
          ),
        ),
      );
    };
    const waiting: WaitingRequest = {
      request,
      order: this.#nextOrder++,
      settle: (result) => {
        request.signal.removeEventListener("abort", cancel);
        resolve(result);
      },
    };
    this.#getQueue(request.priority).push(waiting);
    request.signal.addEventListener("abort", cancel, { once: true });
    this.#scheduleSweep();
  }

  #takeNext(priority: Priority): WaitingRequest {
    const queue = this.#getQueue(priority);
    const best = queue.reduce((first, other) =>
      this.#isBefore(other, first) ? other : first
    );
    queue.splice(queue.indexOf(best), 1);
    return best;
  }

  #isBefore(a: WaitingRequest, b: WaitingRequest): boolean {
    const startsA = this.#recentStarts.get(a.request.team) ?? 0;
    const startsB = this.#recentStarts.get(b.request.team) ?? 0;
    if (a.request.team !== b.request.team && startsA !== startsB) {
      return startsA < startsB;
    }
    return a.request.dueMs < b.request.dueMs ||
      (a.request.dueMs === b.request.dueMs && a.order < b.order);
  }

  #recordStart(request: AdmissionRequest, nowMs: number): void {
    this.#parts.recordStart(request.priority);
    this.#startTimesMs.push(nowMs);
    if (this.#startTimesMs.length > this.#maxLength) this.#startTimesMs.shift();
    this.#recentStarts.forEach((count, team) => {
      if (count < 0.01) this.#recentStarts.delete(team);
      else this.#recentStarts.set(team, count * FAIRNESS_DECAY);
    });
    this.#recentStarts.set(
      request.team,
      (this.#recentStarts.get(request.team) ?? 0) + 1,
    );
  }

  #refuseLate(nowMs: number): void {
    PRIORITIES.forEach((priority) => {
      const queue = this.#getQueue(priority);
      const isLate = ({ request }: WaitingRequest) =>
        request.dueMs <= nowMs + request.workMs;
      const late = queue.filter(isLate);
      if (late.length === 0) return;
      this.#waiting.set(priority, queue.filter((waiting) => !isLate(waiting)));
      late.forEach(({ request, settle }) => {
        this.refused.late++;
        settle(err(createLateFailure(request, nowMs)));
      });
    });
  }

  #scheduleSweep(): void {
    if (this.#isSweeping) return;
    this.#isSweeping = true;
    this.#parts.clock.schedule(SWEEP_INTERVAL_MS, () => {
      this.#isSweeping = false;
      this.wake();
      if (this.length > 0) this.#scheduleSweep();
    });
  }
}

function createLateFailure(request: AdmissionRequest, nowMs: number): Failure {
  const leftMs = Math.max(0, Math.round(request.dueMs - nowMs));
  const message =
    `Cannot start the work: it takes about ${Math.round(request.workMs)} ms, ` +
    `and ${leftMs} ms are left`;
  return createFailure("DEADLINE_PASSED", message);
}

function createOverloadedFailure(retryAfterMs: number): Failure {
  return createFailure(
    "OVERLOADED",
    "Cannot start the work in time: too much waits before it",
    {
      retryAfterMs: Math.max(MIN_RETRY_MS, Math.round(retryAfterMs)),
    },
  );
}
