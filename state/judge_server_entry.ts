import type { BackendId } from "../ids/mod.ts";
import type { RegisteredServer } from "../servers/mod.ts";

/** What a new entry under the key of a server means. */
export type ServerVerdict =
  /** The server is there, or says something new of itself. */
  | { readonly kind: "put"; readonly server: RegisteredServer }
  /** It has started again: nothing that was known of it holds. */
  | {
    readonly kind: "restarted";
    readonly gone: BackendId;
    readonly server: RegisteredServer;
  }
  /** A write of an earlier start came late; only what calls for care is taken. */
  | { readonly kind: "outdated"; readonly server: RegisteredServer }
  /**
   * The store came back from a copy that is older than the server's last writes: what
   * they said stands until it writes again.
   */
  | { readonly kind: "lost-writes"; readonly server: RegisteredServer }
  /** The entry is of another writer: the server of this key is out of use. */
  | {
    readonly kind: "foreign";
    readonly server: RegisteredServer;
    readonly reason: string;
  };

/** Optional parts of a judgement. */
export interface JudgeServerEntryOptions {
  /** Whether its key said so in an earlier era of the store, and not again. Default: no. */
  readonly isOfEarlierEra?: boolean;
}

/**
 * Judges a new entry of a server beside the one before it.
 *
 * @param before What its key said so far; `undefined`: nothing.
 * @param told The new entry.
 * @param options Where what its key said comes from.
 */
export function judgeServerEntry(
  before: RegisteredServer | undefined,
  told: RegisteredServer,
  { isOfEarlierEra = false }: JudgeServerEntryOptions = {},
): ServerVerdict {
  if (before === undefined) return { kind: "put", server: told };
  if (before.id === told.id) {
    if (!isOfEarlierEra || told.sequence > before.sequence) {
      return { kind: "put", server: told };
    }
    // The same write once more: the time that it says is left runs on.
    return told.sequence === before.sequence
      ? { kind: "put", server: before }
      : { kind: "lost-writes", server: before };
  }
  if (told.startedMs === undefined) {
    return {
      kind: "foreign",
      server: withdrawServer(before),
      reason: "Wanted the time of the server's start, which it said before",
    };
  }
  if (before.startedMs !== undefined && told.startedMs < before.startedMs) {
    if (isOfEarlierEra) return { kind: "lost-writes", server: before };
    // A server whose clock went back looks the same as a late write, so that
    // leaving and being cold are heeded: a wrong guess costs a little capacity.
    const isDraining = before.isDraining || told.isDraining;
    const { coldForMs } = told;
    return { kind: "outdated", server: { ...before, isDraining, coldForMs } };
  }
  return { kind: "restarted", gone: before.id, server: told };
}

/**
 * Returns a server that gets nothing new, because its entry can't be read. What is
 * known of it is kept for its next good entry.
 */
export function withdrawServer(server: RegisteredServer): RegisteredServer {
  return { ...server, isDraining: true };
}
