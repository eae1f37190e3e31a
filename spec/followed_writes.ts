import type { Invariant } from "./specification.ts";

/** One write: a configuration with the next version, or a server that leaves. */
export type SpecWrite = "configuration" | "leaving";

/** What writes say together. */
export interface WrittenState {
  readonly version: number;
  readonly isServerLeaving: boolean;
}

/** What an instance has in force, and what it ever had since its start. */
export interface FollowingInstance<View extends WrittenState> {
  readonly view: View;
  /** Highest version that was in force. */
  readonly highestVersion: number;
  readonly hasSeenLeaving: boolean;
}

/** What holds in each specification of instances that follow such writes. */
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
    text: "a server that is known to leave gets nothing again",
    holds: ({ instances }) =>
      instances.every(({ hasSeenLeaving, view }) =>
        !hasSeenLeaving || view.isServerLeaving
      ),
  },
];

/** Returns what the writes up to a revision say. */
export function readWrites(
  writes: readonly SpecWrite[],
  revision: number,
): WrittenState {
  const included = writes.slice(0, revision);
  return {
    version: included.filter((write) => write === "configuration").length,
    isServerLeaving: included.includes("leaving"),
  };
}

/** Returns an instance with another view in force. */
export function enforceView<
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
