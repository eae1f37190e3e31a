/** An event of a specification, as text such as `dispatch(1)`. */
export interface SpecEvent {
  readonly type: string;
}

/** Something that must hold in every state. */
export interface Invariant<State> {
  /** The condition of the brief that it stands for. */
  readonly text: string;
  readonly holds: (state: State) => boolean;
}

/** A small model of one protocol. Its decisions are those of the product's code. */
export interface Specification<State> {
  readonly name: string;
  readonly initial: State;
  /** Returns the events that may happen in a state. */
  readonly listEvents: (state: State) => readonly SpecEvent[];
  /** Returns the state after an event. */
  readonly apply: (state: State, event: SpecEvent) => State;
  readonly invariants: readonly Invariant<State>[];
}

/** A specification with a fault put in, which the checker must find. */
export interface Mutant {
  readonly name: string;
  // deno-lint-ignore no-explicit-any
  readonly specification: Specification<any>;
}

/** Parses an event such as `deliver(1,2)` into its name and numbers. */
export function parseEvent(
  event: SpecEvent,
): { readonly name: string; readonly numbers: readonly number[] } {
  const [name, rest = ""] = event.type.split("(");
  const numbers = rest.replace(")", "").split(",").filter((part) => part !== "")
    .map(Number);
  return { name: name!, numbers };
}

/** Returns the list with one element replaced. */
export function replaceAt<T>(
  list: readonly T[],
  index: number,
  value: T,
): readonly T[] {
  return list.map((item, at) => at === index ? value : item);
}
