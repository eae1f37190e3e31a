/** Classes of requests, the most important first. */
export const PRIORITIES = ["interactive", "normal", "batch"] as const;

/** Class of a request. */
export type Priority = (typeof PRIORITIES)[number];
