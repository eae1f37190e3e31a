/** Id of the caller's call; the server that answers sends the id back. */
export const CALL_ID_HEADER = "x-havenspur-attempt-id";
/** Time that the caller will still wait, in milliseconds. */
export const REMAINING_HEADER = "x-havenspur-deadline-remaining";
/** Marks an answer as created by the backend server itself. */
export const SIGNATURE_HEADER = "x-havenspur-response-signature";
/** Id of the only server that may run the call. */
export const EXPECTED_SERVER_HEADER = "x-havenspur-expected-instance";
/** Marks an answer of a server that did not run the call. */
export const NOT_EXECUTED_HEADER = "x-havenspur-not-executed";
/** Name of the model that a call is for. */
export const MODEL_HEADER = "x-havenspur-model";
/** Number of prompt tokens and maximum number of output tokens, separated by a comma. */
export const TOKEN_COUNTS_HEADER = "x-havenspur-token-counts";
/** ID:TOKENS of each prompt part, separated by commas; the last one is the caller's own. */
export const PROMPT_PARTS_HEADER = "x-havenspur-prompt-prefix";
/** Team that the call belongs to; only the gateway sets this header. */
export const TEAM_HEADER = "x-havenspur-tenant";
/** In any answer: the server that answers is shutting down. */
export const LEAVING_HEADER = "server-leaving";
/** In any answer: rejections per second after which the server fails. */
export const BRITTLE_HEADER = "server-brittle";
/** In any answer: calls per second that the server accepts from all instances together. */
export const LIMIT_HEADER = "server-limit";
