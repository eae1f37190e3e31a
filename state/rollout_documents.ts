import { type RolloutId, toRolloutId } from "../ids/mod.ts";
import {
  isFinal,
  isSameOrder,
  type RolloutOrder,
  type RolloutRecord,
  type RolloutStatus,
} from "../rollouts/mod.ts";

/** Maximum number of earlier orders remembered for each service. */
const MAX_EARLIER_ORDERS = 16;
/** Receives orders and records as they are in force; a `RolloutTracker` is one. */
export interface RolloutSink {
  /** Applies an order; `undefined`: there is none. */
  applyOrder(service: string, order: RolloutOrder | undefined): void;
  /** Applies a record that the store has. */
  applyRecord(record: RolloutRecord): void;
  /** Records that the store has no record of a service any more. */
  forgetRecord(service: string): void;
}

interface ServiceRollouts {
  order: RolloutOrder | undefined;
  /** Whether the store was restored without the order, and has had no other one since. */
  isOrderLost: boolean;
  /** Orders that the current one has replaced. */
  earlier: readonly RolloutOrder[];
  /** The record that the store has. */
  record: RolloutRecord | undefined;
  /** Destination of an order that can't be applied and came after the others, if it is readable. */
  refused: RolloutStatus | undefined;
  /** Whether the last order can't be applied. */
  isRefused: boolean;
  isOrderChanged: boolean;
  isRecordChanged: boolean;
}

/** Order and record of one service. */
export interface ServiceRollout {
  readonly service: string;
  /** `undefined`: none was read. */
  readonly order: RolloutOrder | undefined;
  /** `undefined`: the store has none. */
  readonly record: RolloutRecord | undefined;
}

/** An order whose document can't be applied. */
export interface RefusedOrder {
  readonly service: string;
  /** Status for the operator; `undefined`: the order names no destination. */
  readonly status: RolloutStatus | undefined;
}

/** Returns the id of an order: the store's era and the revision of the operator's entry. */
export function toOrderId(era: number, revision: number): RolloutId {
  return toRolloutId(`${era}.${revision}`);
}

/**
 * Orders and records of rollouts, by service. Records are what the store has; its receiver
 * knows which are older than what it decided. An order that the store lost when it was
 * restored from an older copy stays in force.
 */
export class RolloutDocuments {
  readonly #services = new Map<string, ServiceRollouts>();

  /**
   * Records an order.
   *
   * @param order The order.
   * @param isRestored Whether it is read from a store that was just restored.
   */
  putOrder(order: RolloutOrder, isRestored: boolean): void {
    const known = this.#open(order.service);
    // The copy is from before the operator replaced this order.
    const isOld = known.earlier.some((each) => isSameOrder(each, order));
    if (isRestored && isOld) return;
    const isSame = known.order !== undefined &&
      isSameOrder(known.order, order) && !known.isRefused;
    if (isSame) known.isOrderLost = false;
    else replaceOrder(known, order);
  }

  /** Records an order that can't be applied: the order before it stays in force. */
  refuseOrder({ service, status }: RefusedOrder): void {
    const known = this.#open(service);
    known.isRefused = true;
    known.refused = status;
  }

  /** Records that the operator removed the order of a service. */
  removeOrder(service: string): void {
    const known = this.#open(service);
    if (known.order === undefined && !known.isRefused) return;
    replaceOrder(known, undefined);
  }

  /**
   * Records which services have documents in a full read. Orders that a restore lost stay
   * until they are written again or their rollout ends: nobody withdrew them.
   *
   * @param listed Services with an order, and services with a record.
   */
  keepOnly(
    { orders, records }: {
      readonly orders: ReadonlySet<string>;
      readonly records: ReadonlySet<string>;
    },
  ): void {
    this.#services.forEach(({ isOrderLost }, service) => {
      if (!orders.has(service) && !isOrderLost) this.removeOrder(service);
      if (!records.has(service)) this.removeRecord(service);
    });
  }

  /** Records the decisions on a service that the store has. */
  putRecord(record: RolloutRecord): void {
    const known = this.#open(record.service);
    known.record = record;
    known.isRecordChanged = true;
  }

  /** Records that the store has no record of a service. */
  removeRecord(service: string): void {
    const known = this.#services.get(service);
    if (known?.record === undefined) return;
    known.record = undefined;
    known.isRecordChanged = true;
  }

  /** Marks all orders as lost, and forgets all records, before a restored store is read. */
  beginEra(): void {
    this.#services.forEach((known, service) => {
      known.isOrderLost = known.order !== undefined;
      this.removeRecord(service);
    });
  }

  /** Returns the statuses of orders that can't be applied and interrupt no other order. */
  listRefused(): readonly RolloutStatus[] {
    return [...this.#services.values()].flatMap(({ record, refused }) => {
      if (refused === undefined || isRunning(record)) return [];
      // "rolled_back" would make the operator stop servers that are in use.
      if (record?.inForce.includes(refused.destination) ?? true) return [];
      return [refused];
    });
  }

  /** Returns the orders and records of all services that have any. */
  list(): readonly ServiceRollout[] {
    return [...this.#services].map(([service, { order, record }]) => ({
      service,
      order,
      record,
    }));
  }

  /** Passes on what changed since the last call. */
  flush(sink: RolloutSink | undefined): void {
    this.#services.forEach((known, service) => {
      const { isOrderChanged, isRecordChanged, record } = known;
      known.isOrderChanged = false;
      known.isRecordChanged = false;
      if (isRecordChanged) {
        if (record === undefined) sink?.forgetRecord(service);
        else sink?.applyRecord(record);
      }
      if (!isOrderChanged) return;
      sink?.applyOrder(service, known.order ?? toRecordedOrder(known));
    });
  }

  #open(service: string): ServiceRollouts {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const opened: ServiceRollouts = {
      order: undefined,
      isOrderLost: false,
      earlier: [],
      record: undefined,
      refused: undefined,
      isRefused: false,
      // A record without an order is of an order that was removed, also if nobody saw that.
      isOrderChanged: true,
      isRecordChanged: false,
    };
    this.#services.set(service, opened);
    return opened;
  }
}

function replaceOrder(
  known: ServiceRollouts,
  order: RolloutOrder | undefined,
): void {
  if (known.order !== undefined && known.order.id !== order?.id) {
    known.earlier = [...known.earlier, known.order].slice(-MAX_EARLIER_ORDERS);
  }
  known.order = order;
  known.isOrderLost = false;
  known.isRefused = false;
  known.refused = undefined;
  known.isOrderChanged = true;
}

/**
 * Returns the order that a record names, where the operator's entry was overwritten by one
 * that can't be applied before this instance started.
 */
function toRecordedOrder(
  { isRefused, record }: ServiceRollouts,
): RolloutOrder | undefined {
  if (!isRefused || record?.order === undefined) return undefined;
  const { destination, durationMs, id } = record.order;
  return { id, service: record.service, destination, durationMs };
}

function isRunning(record: RolloutRecord | undefined): boolean {
  const phase = record?.order?.phase;
  return phase !== undefined && !isFinal(phase);
}
