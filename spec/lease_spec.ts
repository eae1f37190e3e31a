import {
  decideOrder,
  type HeldLease,
  isLeaseSafe,
  type LeaseTerms,
} from "../leases/mod.ts";
import {
  type Mutant,
  parseEvent,
  replaceAt,
  type SpecEvent,
  type Specification,
} from "./specification.ts";

/** An order in transit to the engine. */
interface SpecOrder {
  readonly token: number;
  /** Latest time, in steps, at which the order can arrive. */
  readonly latestArrival: number;
}

interface SpecHolder {
  readonly held: HeldLease | null;
  /** Time, in steps, of the request that awaits an answer; -1 if there is none. */
  readonly requestedAt: number;
  /** Token that the store has granted and the holder does not know yet; 0 if there is none. */
  readonly granted: number;
  readonly order: SpecOrder | null;
}

interface LeaseSpecState {
  /** Time in steps. */
  readonly now: number;
  readonly store: {
    /** Index of the holder; -1 if the lease was never granted. */
    readonly holder: number;
    readonly token: number;
    readonly expiresAt: number;
  };
  readonly holders: readonly SpecHolder[];
  /** Highest token of an order that the engine has taken. */
  readonly engineToken: number;
  /** Whether the engine has taken an order with a lower token after one with a higher token. */
  readonly hasTakenOldOrder: boolean;
  /** Orders in flight of the holder that sent last, counted at that send. */
  readonly ordersInFlight: number;
}

interface LeaseFaults {
  readonly ignoresLease?: boolean;
  readonly countsFromAnswer?: boolean;
  readonly hasNoMargin?: boolean;
  readonly engineIgnoresToken?: boolean;
  readonly sendsWhileInFlight?: boolean;
}

/** Time is counted in steps: the lease lasts 3, and the holder does not rely on the last one. */
const TERMS: LeaseTerms = { ttlMs: 3, marginMs: 1 };
/** Steps that an order takes to arrive, without a pause. */
const ORDER_DURATION = 1;
/** Longest pause, in steps, between a decision and its order, for engines that ignore tokens. */
const MAX_PAUSE = 1;
/** Time, in steps, at which the exploration ends. */
const END_TIME = 5;
/** The same for fenced orders; these can be delayed indefinitely, so a shorter run suffices. */
const FENCED_END_TIME = 4;
const HOLDER_COUNT = 2;

/** A lease with an engine that checks fencing tokens; pauses can have any length. */
export const FENCED_SPEC = createLeaseSpec({ isFenced: true, faults: {} });
/** A lease with an engine that ignores tokens; the margin limits the pauses. */
export const UNFENCED_SPEC = createLeaseSpec({ isFenced: false, faults: {} });

/** Faults of leases; the model checker must detect each. */
export const LEASE_MUTANTS: readonly Mutant[] = [
  {
    name:
      "send an order after the lease has expired, to an engine that ignores tokens",
    specification: createLeaseSpec({
      isFenced: false,
      faults: { ignoresLease: true },
    }),
  },
  {
    name: "count the lease from the answer instead of the request",
    specification: createLeaseSpec({
      isFenced: false,
      faults: { countsFromAnswer: true },
    }),
  },
  {
    name: "rely on the lease until its last step",
    specification: createLeaseSpec({
      isFenced: false,
      faults: { hasNoMargin: true },
    }),
  },
  {
    name: "an engine that must check tokens ignores them",
    specification: createLeaseSpec({
      isFenced: true,
      faults: { engineIgnoresToken: true },
    }),
  },
  {
    name: "send a second order while one is in flight",
    specification: createLeaseSpec({
      isFenced: false,
      faults: { sendsWhileInFlight: true },
    }),
  },
];

function createLeaseSpec(
  options: { readonly isFenced: boolean; readonly faults: LeaseFaults },
): Specification<LeaseSpecState> {
  return {
    name: options.isFenced ? "lease, fenced orders" : "lease, unfenced orders",
    initial: {
      now: 0,
      store: { holder: -1, token: 0, expiresAt: 0 },
      holders: Array.from(
        { length: HOLDER_COUNT },
        () => ({ held: null, requestedAt: -1, granted: 0, order: null }),
      ),
      engineToken: 0,
      hasTakenOldOrder: false,
      ordersInFlight: 0,
    },
    listEvents: (state) => listEvents(state, options),
    apply: (state, event) => applyEvent(state, event, options),
    invariants: [
      {
        text:
          "an engine never takes an earlier holder's order after a later holder's",
        holds: ({ hasTakenOldOrder }) => !hasTakenOldOrder,
      },
      {
        text: "a holder has at most one order in flight for each engine",
        holds: ({ ordersInFlight }) => ordersInFlight <= 1,
      },
    ],
  };
}

type LeaseSpecOptions = {
  readonly isFenced: boolean;
  readonly faults: LeaseFaults;
};

function listEvents(
  state: LeaseSpecState,
  options: LeaseSpecOptions,
): readonly SpecEvent[] {
  const isArrivalDue = state.holders.some(({ order }) =>
    order !== null && order.latestArrival <= state.now
  );
  const tick =
    state.now < (options.isFenced ? FENCED_END_TIME : END_TIME) && !isArrivalDue
      ? [{ type: "tick" }]
      : [];
  const holderEvents = state.holders.flatMap((holder, index) => {
    const names = [
      ...(holder.requestedAt < 0 ? ["request"] : []),
      ...(holder.requestedAt >= 0 && holder.granted === 0 &&
          canGrant(state, index)
        ? ["grant"]
        : []),
      ...(holder.granted > 0 ? ["answer"] : []),
      ...(holder.requestedAt >= 0 ? ["loseAnswer"] : []),
      ...(canSend(state, holder, options) ? ["send"] : []),
      ...(holder.order === null ? [] : ["arrive"]),
    ];
    return names.map((name) => ({ type: `${name}(${index})` }));
  });
  return [...tick, ...holderEvents];
}

function applyEvent(
  state: LeaseSpecState,
  event: SpecEvent,
  options: LeaseSpecOptions,
): LeaseSpecState {
  const { name, numbers } = parseEvent(event);
  const index = numbers[0] ?? 0;
  const holder = state.holders[index]!;
  const withHolder = (
    changed: Partial<SpecHolder>,
    rest: Partial<LeaseSpecState> = {},
  ): LeaseSpecState => ({
    ...state,
    ...rest,
    holders: replaceAt(state.holders, index, { ...holder, ...changed }),
  });
  switch (name) {
    case "tick":
      return { ...state, now: state.now + 1 };
    case "request":
      return withHolder({ requestedAt: state.now });
    case "grant": {
      const isRenewal = state.store.holder === index &&
        state.now < state.store.expiresAt;
      const token = isRenewal ? state.store.token : state.store.token + 1;
      const store = {
        holder: index,
        token,
        expiresAt: state.now + TERMS.ttlMs,
      };
      return withHolder({ granted: token }, { store });
    }
    case "answer": {
      const renewedMs = options.faults.countsFromAnswer
        ? state.now
        : holder.requestedAt;
      const held = { token: holder.granted, leaseId: "lease", renewedMs };
      return withHolder({ held, requestedAt: -1, granted: 0 });
    }
    case "loseAnswer":
      return withHolder({ requestedAt: -1, granted: 0 });
    case "send": {
      const token = holder.held!.token;
      // An order to an engine that checks tokens can be delayed indefinitely.
      const latestArrival = options.isFenced
        ? END_TIME + 1
        : state.now + ORDER_DURATION + MAX_PAUSE;
      const ordersInFlight = holder.order === null ? 1 : 2;
      return withHolder({ order: { token, latestArrival } }, {
        ordersInFlight,
      });
    }
    case "arrive":
      return withHolder(
        { order: null },
        deliverOrder(state, holder.order!, options),
      );
    default:
      throw new Error(`Cannot apply event: got ${event.type}`);
  }
}

function canGrant({ now, store }: LeaseSpecState, index: number): boolean {
  return store.holder === index || now >= store.expiresAt;
}

/** Returns whether a holder can send an order, as the production code decides. */
function canSend(
  state: LeaseSpecState,
  holder: SpecHolder,
  options: LeaseSpecOptions,
): boolean {
  const { faults, isFenced } = options;
  if (holder.held === null) return false;
  const terms = faults.hasNoMargin ? { ...TERMS, marginMs: 0 } : TERMS;
  const isSafe = isLeaseSafe(holder.held, terms, {
    nowMs: state.now,
    actMs: ORDER_DURATION,
  });
  const hasOrderInFlight = holder.order !== null && !faults.sendsWhileInFlight;
  const decision = decideOrder(
    { checksFencing: isFenced, hasOrderInFlight },
    isSafe,
  );
  return decision.kind === "send" ||
    (faults.ignoresLease === true && !hasOrderInFlight);
}

function deliverOrder(
  state: LeaseSpecState,
  { token }: SpecOrder,
  { faults, isFenced }: LeaseSpecOptions,
): Partial<LeaseSpecState> {
  const isOld = token < state.engineToken;
  if (isOld && isFenced && !faults.engineIgnoresToken) return {};
  return {
    engineToken: Math.max(state.engineToken, token),
    hasTakenOldOrder: state.hasTakenOldOrder || isOld,
  };
}
