import { toInstanceId } from "../ids/mod.ts";
import type { RawHeaders } from "./call_grammar.ts";
import { readHeader } from "./http_headers.ts";
import type { CallOrigin } from "./opaque_call.ts";

/** Carries what the first instance says of a call that it forwards. */
const HOP_HEADER = "havenspur-hop";
/** Carries whether a call that the second instance refuses has run. */
const RUN_STATE_HEADER = "havenspur-run-state";
/** Carries how long the second instance had the call before it answered. */
const SERVED_MS_HEADER = "havenspur-served-ms";

/** Headers that only instances set; those of a caller are dropped. */
export function isHopHeader(name: string): boolean {
  return name === HOP_HEADER || name === RUN_STATE_HEADER ||
    name === SERVED_MS_HEADER;
}

/** Returns the header of a forwarded call. */
export function writeHop(
  hop: Omit<Extract<CallOrigin, { kind: "instance" }>, "kind">,
): readonly [string, string] {
  return [
    HOP_HEADER,
    `${hop.from} ${Math.floor(hop.remainingMs)} ${hop.attemptsLeft}`,
  ];
}

/** Reads who forwarded a call, or `undefined` where nobody did. */
export function readHop(headers: RawHeaders): CallOrigin | undefined {
  const [from, remainingMs, attemptsLeft] =
    readHeader(headers, HOP_HEADER)?.split(" ") ?? [];
  if (attemptsLeft === undefined) return undefined;
  return {
    kind: "instance",
    from: toInstanceId(from!),
    remainingMs: Number(remainingMs),
    attemptsLeft: Number(attemptsLeft),
  };
}

/** What an instance says of a call that it refuses. */
export interface RunState {
  /** Whether the call has not run and never will. */
  readonly isNotRun: boolean;
  /** Servers that refused it. */
  readonly sends: number;
}

/** Returns the header that marks a refusal of an instance. */
export function writeRunState(state: RunState): readonly [string, string] {
  const word = state.isNotRun ? "not-run" : "unknown";
  return [RUN_STATE_HEADER, `${word} ${state.sends}`];
}

/** Reads the mark of a refusal; `undefined`: the answer is a backend server's. */
export function readRunState(headers: RawHeaders): RunState | undefined {
  const value = readHeader(headers, RUN_STATE_HEADER);
  if (value === undefined) return undefined;
  const [word, sends] = value.split(" ");
  return { isNotRun: word === "not-run", sends: Number(sends ?? 0) };
}

/** Returns the header that says how long the call was here. */
export function writeServedMs(servedMs: number): readonly [string, string] {
  return [SERVED_MS_HEADER, String(Math.round(servedMs))];
}

/** Reads how long the other instance had the call, in milliseconds. */
export function readServedMs(headers: RawHeaders): number | undefined {
  const value = readHeader(headers, SERVED_MS_HEADER);
  return value === undefined ? undefined : Number(value);
}
