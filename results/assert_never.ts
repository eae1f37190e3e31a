/**
 * Closes an exhaustive `switch` over a discriminated union.
 *
 * @param value What no case has taken.
 * @throws {Error} Always: reaching it is a bug.
 */
export function assertNever(value: never): never {
  throw new Error(`Cannot handle value: got ${JSON.stringify(value)}`);
}
