/** Names the caller's call, and is echoed by the server that answers. */
export const CALL_ID_HEADER = "x-havenspur-attempt-id";
/** Milliseconds that the caller will wait. */
export const REMAINING_HEADER = "x-havenspur-deadline-remaining";
/** Says that an answer is the server's own. */
export const SIGNATURE_HEADER = "x-havenspur-response-signature";
/** The only server that may run the call. */
export const EXPECTED_SERVER_HEADER = "x-havenspur-expected-instance";
/** Says that a server did not run the call. */
export const NOT_EXECUTED_HEADER = "x-havenspur-not-executed";
/** Names the team whose call it is; the gateway alone sets it. */
export const TEAM_HEADER = "x-havenspur-tenant";
/** Says in any answer that its server leaves. */
export const LEAVING_HEADER = "server-leaving";
/** Says in any answer how many calls a second its server takes from all instances together. */
export const LIMIT_HEADER = "server-limit";
