/** An event of a specification. */
export interface SpecEvent {
  /** Name and arguments, such as `dispatch(1)`. */
  readonly type: string;
}

/** A condition that must hold in every reachable state. */
export interface Invariant<State> {
  /** The requirement in words; the runner prints it. */
  readonly text: string;
  /** Returns whether the condition holds in a state. */
  readonly holds: (state: State) => boolean;
}

/** A small model of one protocol. It calls the decision functions of the production code. */
export interface Specification<State> {
  readonly name: string;
  readonly initial: State;
  /** Returns the events that can happen in a state. */
  readonly listEvents: (state: State) => readonly SpecEvent[];
  /** Returns the state after an event. */
  readonly apply: (state: State, event: SpecEvent) => State;
  readonly invariants: readonly Invariant<State>[];
}

/** A specification with an injected fault that the model checker must detect. */
export interface Mutant {
  readonly name: string;
  // deno-lint-ignore no-explicit-any
  readonly specification: Specification<any>;
}

/** Parses an event such as `deliver(1,2)` into its name and its numeric arguments. */
export function parseEvent(
  event: SpecEvent,
): { readonly name: string; readonly numbers: readonly number[] } {
  const [name, rest = ""] = event.type.split("(");
  const numbers = rest.replace(")", "").split(",").filter((part) => part !== "")
    .map(Number);
  return { name: name!, numbers };
}

/** Returns a copy of a list with one element replaced. */
export function replaceAt<T>(
  list: readonly T[],
  index: number,
  value: T,
): readonly T[] {
  return list.map((item, position) => position === index ? value : item);
}
