import type { TeamId } from "../ids/mod.ts";

/** Header names and values, alternating, in the order and spelling of the sender. */
export type RawHeaders = readonly string[];

/** One part of a prompt, which other calls may share. */
export interface PromptPart {
  /** Identifies the text of this part. */
  readonly id: string;
  readonly tokens: number;
}

/** Model, prompt size and output limit of a call to a model engine, from which its cost is estimated. */
export interface PromptFacts {
  /** Name of the model; `undefined` if the call names none. */
  readonly model: string | undefined;
  /** Length of the prompt, in tokens. */
  readonly promptTokens: number;
  /** Maximum number of tokens that may be generated. */
  readonly maxOutputTokens: number;
  /** Parts of the prompt, in order; the last one belongs to this caller alone. */
  readonly parts: readonly PromptPart[];
}

/** Facts read from the headers of a call. */
export interface CallFacts {
  /** The caller's id of this call; empty if it sent none. */
  readonly callId: string;
  readonly host: string;
  /** How long the caller will wait, in milliseconds; `undefined` if only the route limits the time. */
  readonly remainingMs: number | undefined;
  /** The prompt; `undefined` if the headers do not describe one. */
  readonly prompt: PromptFacts | undefined;
  /** Id of the last event that the caller of a resumed stream has received. */
  readonly lastEventId: string | undefined;
  /** All values of the header that holds the caller's key, as received. */
  readonly authorization: readonly string[];
}

/** Facts that the gateway adds to the caller's headers for a backend server. */
export interface SendFacts {
  /** Name of the only server that may run the call, as the server itself knows it. */
  readonly serverName: string;
  /**
   * Rank of the call; 0 is the most urgent. The integer part is the priority of its team,
   * the tenths are the priority of its route.
   */
  readonly rank: number;
  /** Time until the deadline of the call, in milliseconds. */
  readonly remainingMs: number;
  /** Id of the event after which the stream is resumed. Default: the id that the caller sent. */
  readonly lastEventId?: string | undefined;
  /** Team of the call; `undefined` if no team is sent. */
  readonly team: TeamId | undefined;
  /** Whether the caller's key is removed, because the gateway itself identifies callers. */
  readonly withholdsKeys: boolean;
}

/** Facts read from the head of a backend server's answer. */
export interface AnswerFacts {
  /** Id of the answered call; `undefined` if the answer names none. */
  readonly callId: string | undefined;
  /** Whether the answer is signed as the server's own. */
  readonly isSigned: boolean;
  /** Whether the server reports that it did not run the call. */
  readonly isNotExecuted: boolean;
  /** Whether a server other than the intended one received the call, and did not run it. */
  readonly isMisdirected: boolean;
  /** Whether the body has a content encoding, so that its bytes are not those of the server. */
  readonly isContentEncoded: boolean;
  /** Whether the server reports that it is shutting down and must get no new calls. */
  readonly isLeaving: boolean;
  /**
   * Cool-down that the server requests from this instance when it refuses a call, in
   * milliseconds; `undefined` if it requests none.
   */
  readonly cooldownMs: number | undefined;
  /**
   * Calls per second that the server accepts from all instances together; `undefined` if
   * it advertises no limit.
   */
  readonly limitPerSecond: number | undefined;
  /**
   * Rejections per second, of calls from all instances together, after which the server
   * fails; `undefined` if it names none.
   */
  readonly rejectionsPerSecond: number | undefined;
  /** How long the server stays cold, in milliseconds; `undefined` if the answer does not tell. */
  readonly coldForMs: number | undefined;
}

/**
 * Reads and writes the headers of calls in one protocol. Only implementations know header
 * names; all other code works with the facts.
 */
export interface CallHeaderCodec {
  /** Reads a caller's headers. */
  readCall(headers: RawHeaders): CallFacts;
  /**
   * Returns the headers for a backend server: the caller's headers, without those that
   * concern one connection or that only the gateway sets, and the headers for the facts.
   */
  writeSend(headers: RawHeaders, facts: SendFacts): string[];
  /** Reads the head of an answer. */
  readAnswer(status: number, headers: RawHeaders): AnswerFacts;
}
