import type { Invariant } from "./specification.ts";

/** A write: a configuration with the next version, or a server that is leaving. */
export type SpecWrite = "configuration" | "leaving";

/** State that results from a sequence of writes. */
export interface WrittenState {
  /** Version of the latest configuration; 0 if none was written. */
  readonly version: number;
  readonly isServerLeaving: boolean;
}

/** An instance that follows the writes: its view in force, and its history since its start. */
export interface FollowingInstance<View extends WrittenState> {
  readonly view: View;
  /** Highest configuration version that was in force. */
  readonly highestVersion: number;
  /** Whether the server was leaving in a view that was in force. */
  readonly hasSeenLeaving: boolean;
}

/** Invariants of every specification whose instances follow such writes. */
export const FOLLOWING_INVARIANTS: readonly Invariant<{
  readonly instances: readonly FollowingInstance<WrittenState>[];
}>[] = [
  {
    text: "a configuration in force never reverts to an older one",
    holds: ({ instances }) =>
      instances.every(({ highestVersion, view }) =>
        view.version >= highestVersion
      ),
  },
  {
    text: "a server that is known to be leaving never receives calls again",
    holds: ({ instances }) =>
      instances.every(({ hasSeenLeaving, view }) =>
        !hasSeenLeaving || view.isServerLeaving
      ),
  },
];

/** Returns the state that results from the writes up to a revision. */
export function replayWrites(
  writes: readonly SpecWrite[],
  revision: number,
): WrittenState {
  const included = writes.slice(0, revision);
  return {
    version: included.filter((write) => write === "configuration").length,
    isServerLeaving: included.includes("leaving"),
  };
}

/** Returns the instance with a new view in force, and with its history updated. */
export function updateView<
  View extends WrittenState,
  Instance extends FollowingInstance<View>,
>(instance: Instance, view: View): Instance {
  return {
    ...instance,
    view,
    highestVersion: Math.max(instance.highestVersion, view.version),
    hasSeenLeaving: instance.hasSeenLeaving || view.isServerLeaving,
  };
}
