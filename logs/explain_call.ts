/** One parsed line of the log. */
interface LogLine {
  readonly timeMs: number;
  readonly time: string;
  readonly instance: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Milliseconds before the first line of a call in which its instances may have learned what explains it. */
const CONTEXT_MS = 5_000;
/** Maximum number of context lines; the latest are kept, which are nearest to the call. */
const MAX_CONTEXT_LINES = 20;
/** Fields that are printed at a fixed place, or not at all. */
const FIXED_FIELDS: ReadonlySet<string> = new Set([
  "level",
  "time",
  "instance",
  "message",
  "call",
]);

/**
 * Explains what happened to a call: lists every decision on the call at any instance,
 * and what the same instances learned shortly before.
 *
 * @param lines Log lines of any number of instances, in any order.
 * @param callId The caller's id of the call.
 * @returns Human-readable lines; none if no log line names the call.
 */
export function explainCall(
  lines: readonly string[],
  callId: string,
): readonly string[] {
  const parsed = lines.flatMap((line) => parseLine(line) ?? [])
    .sort((a, b) => a.timeMs - b.timeMs);
  const callLines = parsed.filter(({ fields }) => fields.call === callId);
  const [first] = callLines;
  const last = callLines.at(-1);
  if (first === undefined || last === undefined) return [];
  const instances = new Set(callLines.map(({ instance }) => instance));
  const context = parsed.filter((line) =>
    line.fields.call === undefined && instances.has(line.instance) &&
    line.timeMs >= first.timeMs - CONTEXT_MS && line.timeMs <= last.timeMs
  ).slice(-MAX_CONTEXT_LINES);
  return [
    `call ${callId}`,
    ...callLines.map(formatLine),
    ...(context.length === 0
      ? []
      : ["learned by these instances shortly before"]),
    ...context.map(formatLine),
  ];
}

/** Parses a line; ignores a prefix that a log collector put before the JSON object. */
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
    // The stream may hold lines of other programs.
    return undefined;
  }
}

function formatLine({ fields, instance, message, time }: LogLine): string {
  const shown = Object.entries(fields)
    .filter(([name]) => !FIXED_FIELDS.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  return `  ${time} ${instance} ${message}: ${shown.join(" ")}`;
}
