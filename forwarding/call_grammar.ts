import type { TeamId } from "../ids/mod.ts";

/** Headers as names and values in turn, in the order and spelling of the sender. */
export type RawHeaders = readonly string[];

/** One part of a prompt that other calls may share. */
export interface PromptPart {
  /** Names the text of this part. */
  readonly id: string;
  readonly tokens: number;
}

/** What a call to a model engine is about to cost. */
export interface PromptFacts {
  /** Tokens to read. */
  readonly promptTokens: number;
  /** Most tokens that may be generated. */
  readonly maxOutputTokens: number;
  /** The prompt from its start, in parts; the last one is the caller's own. */
  readonly parts: readonly PromptPart[];
}

/** What the headers of a call say. */
export interface CallFacts {
  /** The caller's id of this call; empty: it sent none. */
  readonly callId: string;
  readonly host: string;
  /** How long the caller will wait, in milliseconds. Default: as long as the route lets it. */
  readonly remainingMs: number | undefined;
  readonly prompt: PromptFacts | undefined;
  /** Last event that the caller of a resumed stream has. */
  readonly lastEventId: string | undefined;
  /** All values of the header that carries the caller's key, as received. */
  readonly authorization: readonly string[];
}

/** What a send to a backend server says beside what the caller sent. */
export interface SendFacts {
  /** The only server that may run the call, as it calls itself. */
  readonly serverName: string;
  /**
   * Rank of the call, 0 the most urgent: the priority of its team, and in tenths that of
   * its route.
   */
  readonly rank: number;
  /** How long its answer is of use, in milliseconds. */
  readonly remainingMs: number;
  /** Goes on after this event. Default: as the caller sent it. */
  readonly lastEventId?: string | undefined;
  /** The team whose call it is; `undefined`: none is said. */
  readonly team: TeamId | undefined;
  /** Whether callers' keys stay here, since the deployment identifies callers. */
  readonly keepsKeys: boolean;
}

/** What the head of a backend server's answer says. */
export interface AnswerFacts {
  /** The call that it answers; `undefined`: it does not say. */
  readonly callId: string | undefined;
  /** Whether the server vouches that the answer is its own. */
  readonly isSigned: boolean;
  /** Whether the server says that it did not run the call. */
  readonly isNotExecuted: boolean;
  /** Whether another server than the wanted one got the call, and did not run it. */
  readonly isOtherServer: boolean;
  /** Whether the body is coded, so that its bytes are not those of the server. */
  readonly isCoded: boolean;
  /** Whether the server says that it leaves: it is to get nothing new. */
  readonly isLeaving: boolean;
  /**
   * How long the server wants nothing from this instance, in milliseconds, said with a
   * refusal. Default: it does not say.
   */
  readonly restMs: number | undefined;
  /** Calls a second that the server takes from all instances together. Default: it names no limit. */
  readonly limitPerSecond: number | undefined;
  /** How long the server stays cold, in milliseconds. Default: it does not say. */
  readonly coldForMs: number | undefined;
}

/**
 * The headers of calls in one protocol. The code that decides sees facts; only
 * a grammar knows names.
 */
export interface CallGrammar {
  /** Reads a caller's headers. */
  readCall(headers: RawHeaders): CallFacts;
  /**
   * Returns the headers for a backend server: the caller's, without those that
   * concern one connection or that only the gateway sets, and the facts.
   */
  writeSend(headers: RawHeaders, facts: SendFacts): string[];
  /** Reads the head of an answer. */
  readAnswer(status: number, headers: RawHeaders): AnswerFacts;
}
