/** Returns a value of a decoded report as a number; throws a `TypeError` if it is none. */
export function toNumber(value: unknown): number {
  if (typeof value === "number" && Number.isFinite(value)) return value;
  throw new TypeError(
    `Wanted a finite number in a report, got ${typeof value}`,
  );
}

/** Returns a value of a decoded report as a string; throws a `TypeError` if it is none. */
export function toText(value: unknown): string {
  if (typeof value === "string") return value;
  throw new TypeError(`Wanted a string in a report, got ${typeof value}`);
}
