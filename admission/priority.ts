/** Priority classes of requests, in descending order. */
export const PRIORITIES = ["interactive", "normal", "batch"] as const;

/** Priority class of a request. */
export type Priority = (typeof PRIORITIES)[number];
