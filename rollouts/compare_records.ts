import type { RolloutId } from "../ids/mod.ts";
import type {
  RolloutOrder,
  RolloutPhase,
  RolloutProgress,
  RolloutRecord,
} from "./rollout_types.ts";

/** Position of each phase: an order moves to a later one only. */
const PHASE_RANKS: Readonly<Record<RolloutPhase, number>> = {
  trial: 0,
  ramp: 1,
  switch: 2,
  completed: 3,
  "rolled-back": 3,
};

/** Returns a number that is larger for a later phase; equal for the two final ones. */
export function rankPhase(phase: RolloutPhase): number {
  return PHASE_RANKS[phase];
}

/** Returns whether an order in this phase has ended. */
export function isFinal(phase: RolloutPhase): boolean {
  return phase === "completed" || phase === "rolled-back";
}

/** What tells an order from others. */
export type OrderIdentity = Pick<
  RolloutOrder,
  "id" | "destination" | "durationMs"
>;

/**
 * Returns whether two orders are the same entry of the operator. A restored store keeps the
 * entry's revision and content in its next era, and an order of its own would restart a
 * version that was rolled back. An entry with another content may have got the same revision
 * in another era.
 */
export function isSameOrder(a: OrderIdentity, b: OrderIdentity): boolean {
  if (a.id === b.id) return true;
  return parseId(a.id).revision === parseId(b.id).revision &&
    a.destination === b.destination && a.durationMs === b.durationMs;
}

/** Returns whether the first order was written after the second. */
export function isLaterOrder(id: RolloutId, than: RolloutId): boolean {
  return compareIds(id, than) > 0;
}

/**
 * Returns whether the first record supersedes the second: by a newer order, by a later phase
 * of the same order, or by more writes. A record that is read from a store restored from an
 * older copy does not supersede what is remembered.
 */
export function isLaterRecord(
  record: RolloutRecord,
  than: RolloutRecord,
): boolean {
  const difference = compareOrders(record.order, than.order);
  if (difference !== 0) return difference > 0;
  const phaseDifference = rankOptional(record.order) - rankOptional(than.order);
  if (phaseDifference !== 0) return phaseDifference > 0;
  return (record.sequence ?? 0) > (than.sequence ?? 0);
}

function rankOptional(order: RolloutProgress | undefined): number {
  return order === undefined ? -1 : rankPhase(order.phase);
}

function compareOrders(
  a: RolloutProgress | undefined,
  b: RolloutProgress | undefined,
): number {
  if (a === undefined || b === undefined) {
    return Number(a !== undefined) - Number(b !== undefined);
  }
  return compareIds(a.id, b.id);
}

function compareIds(a: RolloutId, b: RolloutId): number {
  const [first, second] = [parseId(a), parseId(b)];
  return first.era - second.era || first.revision - second.revision;
}

/** Parses `ERA.REVISION`; a part that is no number counts as 0. */
function parseId(
  id: string,
): { readonly era: number; readonly revision: number } {
  const [era, revision] = id.split(".").map((part) => Number(part) || 0);
  return { era: era ?? 0, revision: revision ?? 0 };
}
