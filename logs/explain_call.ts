/** One line of the log, as far as an explanation needs it. */
interface LogLine {
  readonly timeMs: number;
  readonly time: string;
  readonly instance: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Time around a call in which what instances learned may explain it, in milliseconds. */
const CONTEXT_MS = 5_000;
/** Lines of context at the most, the nearest to the call. */
const MAX_CONTEXT_LINES = 20;
const OWN_FIELDS: ReadonlySet<string> = new Set([
  "level",
  "time",
  "instance",
  "message",
  "call",
]);

/**
 * Explains what became of a call: every decision on it at any instance, and what
 * the same instances learned shortly before.
 *
 * @param lines Lines of logs, of any number of instances, in any order.
 * @param callId The caller's id of the call.
 * @returns Lines for people; none where no line names the call.
 */
export function explainCall(
  lines: readonly string[],
  callId: string,
): readonly string[] {
  const parsed = lines.flatMap((line) => parseLine(line) ?? [])
    .sort((a, b) => a.timeMs - b.timeMs);
  const own = parsed.filter(({ fields }) => fields.call === callId);
  const [first] = own;
  const last = own.at(-1);
  if (first === undefined || last === undefined) return [];
  const instances = new Set(own.map(({ instance }) => instance));
  const context = parsed.filter((line) =>
    line.fields.call === undefined && instances.has(line.instance) &&
    line.timeMs >= first.timeMs - CONTEXT_MS && line.timeMs <= last.timeMs
  ).slice(-MAX_CONTEXT_LINES);
  return [
    `call ${callId}`,
    ...own.map(formatLine),
    ...(context.length === 0 ? [] : ["learned there shortly before"]),
    ...context.map(formatLine),
  ];
}

/** Reads a line; what a collector put before the JSON object is passed over. */
function parseLine(line: string): LogLine | undefined {
  const start = line.indexOf("{");
  if (start < 0) return undefined;
  try {
    const fields = JSON.parse(line.slice(start)) as Record<string, unknown>;
    const time = String(fields.time ?? "");
    const timeMs = Date.parse(time);
    if (Number.isNaN(timeMs)) return undefined;
    return {
      timeMs,
      time,
      instance: String(fields.instance ?? ""),
      message: String(fields.message ?? ""),
      fields,
    };
  } catch {
    // Whatever else is in the stream is no line of ours.
    return undefined;
  }
}

function formatLine({ fields, instance, message, time }: LogLine): string {
  const shown = Object.entries(fields)
    .filter(([name]) => !OWN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  return `  ${time} ${instance} ${message}: ${shown.join(" ")}`;
}
