import type { BackendId } from "../ids/mod.ts";
import type { RegisteredServer } from "../servers/mod.ts";

/** Decision on a new entry under the key of a server. */
export type ServerEntryDecision =
  /** The entry is the first under its key, or an update of the same start. */
  | { readonly kind: "put"; readonly server: RegisteredServer }
  /** The server has started again: nothing that was known of its earlier start holds. */
  | {
    readonly kind: "restarted";
    readonly previousId: BackendId;
    readonly server: RegisteredServer;
  }
  /** A late write of an earlier start: only its draining and cold time are applied. */
  | { readonly kind: "outdated"; readonly server: RegisteredServer }
  /**
   * The store was restored from a copy that is older than the server's last writes:
   * these stay in force until the server writes again.
   */
  | { readonly kind: "lost-writes"; readonly server: RegisteredServer }
  /** The entry is of another writer: the server of this key gets no calls. */
  | {
    readonly kind: "foreign";
    readonly server: RegisteredServer;
    readonly reason: string;
  };

/** Options of the evaluation of a server's entry. */
export interface EvaluateServerEntryOptions {
  /** Whether the earlier entry was written in an earlier era of the store, and not again. Default: false. */
  readonly isOfEarlierEra?: boolean;
}

/**
 * Evaluates a new entry of a server against the entry before it.
 *
 * @param previous The earlier entry under its key; `undefined`: none.
 * @param next The new entry.
 * @param options Which era the earlier entry is of.
 */
export function evaluateServerEntry(
  previous: RegisteredServer | undefined,
  next: RegisteredServer,
  { isOfEarlierEra = false }: EvaluateServerEntryOptions = {},
): ServerEntryDecision {
  if (previous === undefined) return { kind: "put", server: next };
  if (previous.id === next.id) {
    if (!isOfEarlierEra || next.sequence > previous.sequence) {
      return { kind: "put", server: next };
    }
    // The same write again: its remaining cold time continues to run.
    return next.sequence === previous.sequence
      ? { kind: "put", server: previous }
      : { kind: "lost-writes", server: previous };
  }
  if (next.startedMs === undefined) {
    return {
      kind: "foreign",
      server: withdrawServer(previous),
      reason:
        "Wanted the server's start time, as in its earlier entry, got none",
    };
  }
  if (previous.startedMs !== undefined && next.startedMs < previous.startedMs) {
    if (isOfEarlierEra) return { kind: "lost-writes", server: previous };
    // A restarted server whose clock was set back looks the same as a late write.
    // Draining and cold time are therefore applied: a wrong guess costs little capacity.
    const isDraining = previous.isDraining || next.isDraining;
    const { coldForMs } = next;
    return { kind: "outdated", server: { ...previous, isDraining, coldForMs } };
  }
  return { kind: "restarted", previousId: previous.id, server: next };
}

/**
 * Returns a server as draining, so that it gets no new calls, because its entry can't
 * be read. What is known of it is kept for its next valid entry.
 */
export function withdrawServer(server: RegisteredServer): RegisteredServer {
  return { ...server, isDraining: true };
}
