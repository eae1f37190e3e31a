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

/** An order that is on its way, and the last time at which it arrives. */
interface SpecOrder {
  readonly token: number;
  readonly latest: number;
}

interface SpecHolder {
  readonly held: HeldLease | null;
  /** When the request that is out was made; -1: none is out. */
  readonly asked: number;
  /** Token that the store has granted and that the holder does not know yet. */
  readonly granted: number;
  readonly order: SpecOrder | null;
}

interface LeaseSpecState {
  readonly now: number;
  readonly store: {
    readonly holder: number;
    readonly token: number;
    readonly expires: number;
  };
  readonly holders: readonly SpecHolder[];
  /** Highest token that the engine has seen, and whether an older one came after it. */
  readonly engineToken: number;
  readonly wasOvertaken: boolean;
  readonly inFlightAtOnce: number;
}

interface LeaseFaults {
  readonly ignoresLease?: boolean;
  readonly countsFromAnswer?: boolean;
  readonly hasNoMargin?: boolean;
  readonly engineIgnoresToken?: boolean;
  readonly sendsTwo?: boolean;
}

/** Time is counted in steps: a lease of 3, of which the last one is not relied on. */
const TERMS: LeaseTerms = { ttlMs: 3, marginMs: 1 };
const ORDER_TIME = 1;
/** Longest pause between a decision and its order, for engines that ignore tokens. */
const PAUSE = 1;
const END = 5;
/** Fenced orders may be late by any time: a shorter run shows as much. */
const FENCED_END = 4;
const HOLDERS = 2;

/** A lease with an engine that checks fencing tokens: pauses may be of any length. */
export const FENCED_SPEC = createLeaseSpec({ isFenced: true, faults: {} });
/** A lease with an engine that ignores tokens: pauses are bounded by the margin. */
export const UNFENCED_SPEC = createLeaseSpec({ isFenced: false, faults: {} });

/** Faults of leases that must be found. */
export const LEASE_MUTANTS: readonly Mutant[] = [
  {
    name: "order after the lease, to an engine that ignores tokens",
    specification: createLeaseSpec({
      isFenced: false,
      faults: { ignoresLease: true },
    }),
  },
  {
    name: "count the lease from the answer in place of the request",
    specification: createLeaseSpec({
      isFenced: false,
      faults: { countsFromAnswer: true },
    }),
  },
  {
    name: "rely on the lease to its last step",
    specification: createLeaseSpec({
      isFenced: false,
      faults: { hasNoMargin: true },
    }),
  },
  {
    name: "an engine that should check tokens does not",
    specification: createLeaseSpec({
      isFenced: true,
      faults: { engineIgnoresToken: true },
    }),
  },
  {
    name: "a second order while one is in flight",
    specification: createLeaseSpec({
      isFenced: false,
      faults: { sendsTwo: true },
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
      store: { holder: -1, token: 0, expires: 0 },
      holders: Array.from(
        { length: HOLDERS },
        () => ({ held: null, asked: -1, granted: 0, order: null }),
      ),
      engineToken: 0,
      wasOvertaken: false,
      inFlightAtOnce: 0,
    },
    listEvents: (state) => listEvents(state, options),
    apply: (state, event) => applyEvent(state, event, options),
    invariants: [
      {
        text:
          "an engine never takes an older holder's order after a newer one's",
        holds: ({ wasOvertaken }) => !wasOvertaken,
      },
      {
        text: "a holder has one order in flight for each engine",
        holds: ({ inFlightAtOnce }) => inFlightAtOnce <= 1,
      },
    ],
  };
}

type SpecOptions = { readonly isFenced: boolean; readonly faults: LeaseFaults };

function listEvents(
  state: LeaseSpecState,
  options: SpecOptions,
): readonly SpecEvent[] {
  const mustArrive = state.holders.some(({ order }) =>
    order !== null && order.latest <= state.now
  );
  const tick = state.now < (options.isFenced ? FENCED_END : END) && !mustArrive
    ? [{ type: "tick" }]
    : [];
  const ofHolders = state.holders.flatMap((holder, index) => {
    const names = [
      ...(holder.asked < 0 ? ["ask"] : []),
      ...(holder.asked >= 0 && holder.granted === 0 && isFree(state, index)
        ? ["grant"]
        : []),
      ...(holder.granted > 0 ? ["answer"] : []),
      ...(holder.asked >= 0 ? ["loseAnswer"] : []),
      ...(maySend(state, holder, options) ? ["send"] : []),
      ...(holder.order === null ? [] : ["arrive"]),
    ];
    return names.map((name) => ({ type: `${name}(${index})` }));
  });
  return [...tick, ...ofHolders];
}

function applyEvent(
  state: LeaseSpecState,
  event: SpecEvent,
  options: SpecOptions,
): LeaseSpecState {
  const { name, numbers } = parseEvent(event);
  const index = numbers[0] ?? 0;
  const holder = state.holders[index]!;
  const set = (
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
    case "ask":
      return set({ asked: state.now });
    case "grant": {
      const isRenewal = state.store.holder === index &&
        state.now < state.store.expires;
      const token = isRenewal ? state.store.token : state.store.token + 1;
      const store = { holder: index, token, expires: state.now + TERMS.ttlMs };
      return set({ granted: token }, { store });
    }
    case "answer": {
      const renewedMs = options.faults.countsFromAnswer
        ? state.now
        : holder.asked;
      const held = { token: holder.granted, leaseId: "lease", renewedMs };
      return set({ held, asked: -1, granted: 0 });
    }
    case "loseAnswer":
      return set({ asked: -1, granted: 0 });
    case "send": {
      const token = holder.held!.token;
      // To an engine that checks tokens an order may be late by any time.
      const latest = options.isFenced
        ? END + 1
        : state.now + ORDER_TIME + PAUSE;
      const inFlightAtOnce = holder.order === null ? 1 : 2;
      return set({ order: { token, latest } }, { inFlightAtOnce });
    }
    case "arrive":
      return set({ order: null }, takeOrder(state, holder.order!, options));
    default:
      throw new Error(`Cannot apply event: got ${event.type}`);
  }
}

function isFree({ now, store }: LeaseSpecState, index: number): boolean {
  return store.holder === index || now >= store.expires;
}

/** Decides with the code of the product. */
function maySend(
  state: LeaseSpecState,
  holder: SpecHolder,
  options: SpecOptions,
): boolean {
  const { faults, isFenced } = options;
  if (holder.held === null) return false;
  const terms = faults.hasNoMargin ? { ...TERMS, marginMs: 0 } : TERMS;
  const isSafe = isLeaseSafe(holder.held, terms, {
    nowMs: state.now,
    actMs: ORDER_TIME,
  });
  const hasOrderInFlight = holder.order !== null && !faults.sendsTwo;
  const decision = decideOrder(
    { checksFencing: isFenced, hasOrderInFlight },
    isSafe,
  );
  return decision.kind === "send" ||
    (faults.ignoresLease === true && !hasOrderInFlight);
}

function takeOrder(
  state: LeaseSpecState,
  { token }: SpecOrder,
  { faults, isFenced }: SpecOptions,
): Partial<LeaseSpecState> {
  const isOld = token < state.engineToken;
  if (isOld && isFenced && !faults.engineIgnoresToken) return {};
  return {
    engineToken: Math.max(state.engineToken, token),
    wasOvertaken: state.wasOvertaken || isOld,
  };
}
