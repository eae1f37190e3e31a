/**
 * State of a process's links to all servers:
 *
 * - `open`: they work.
 * - `hanging`: no connection opens, and open ones are silent.
 * - `reset`: connections are reset, open and new ones.
 * - `refusing`: open connections work, and new ones are refused.
 * - `unreachable`: open connections fail at once, as the host can't be reached; new ones work.
 */
export type ServerLinksState =
  | "open"
  | "hanging"
  | "reset"
  | "refusing"
  | "unreachable";

/** Asks a process to change the state of its links. */
export interface ServerLinksRequest {
  readonly state: ServerLinksState;
  /** Port of the store, whose connections are left alone. */
  readonly storePort: number;
}

/** Answers a request. */
export interface ServerLinksReply {
  /** Local ports of the open connections to servers. */
  readonly ports: readonly number[];
}
