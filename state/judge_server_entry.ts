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
  /** The entry is of another writer: the server of this key is out of use. */
  | {
    readonly kind: "foreign";
    readonly server: RegisteredServer;
    readonly reason: string;
  };

/**
 * Judges a new entry of a server beside the one before it.
 *
 * @param before What its key said so far; `undefined`: nothing.
 * @param told The new entry.
 */
export function judgeServerEntry(
  before: RegisteredServer | undefined,
  told: RegisteredServer,
): ServerVerdict {
  if (before === undefined || before.id === told.id) {
    return { kind: "put", server: told };
  }
  if (told.startedMs === undefined) {
    return {
      kind: "foreign",
      server: withdrawServer(before),
      reason: "Wanted the time of the server's start, which it said before",
    };
  }
  if (before.startedMs !== undefined && told.startedMs < before.startedMs) {
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
