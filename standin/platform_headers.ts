/** Names the caller's call, and is echoed by the server that answers. */
export const CALL_ID_HEADER = "x-havenspur-attempt-id";
/** Milliseconds that the caller will wait. */
export const REMAINING_HEADER = "x-havenspur-deadline-remaining";
/** Says that an answer is the server's own. */
export const SIGNATURE_HEADER = "x-havenspur-response-signature";
