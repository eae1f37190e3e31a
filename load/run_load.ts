import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { createParser } from "eventsource-parser";
import { Agent, request } from "undici";
import { Caller } from "../client/mod.ts";
import { systemClock } from "../adapters/system_clock.ts";
import { createRandom, type Random, waitFor } from "../clock/mod.ts";
import type { LoadCall } from "./load_report.ts";
import type { Scenario } from "./scenario.ts";

/** One kind of call in the mix of a scenario. */
type MixEntry = Scenario["mix"][number];

interface PlannedCall {
  readonly atMs: number;
  readonly mix: MixEntry;
  readonly token: string;
  readonly number: number;
}

/** What a run needs in addition to its scenario. */
export interface LoadParts {
  /** Base URLs of the gateway. */
  readonly entries: readonly string[];
  /** Sets a fault at a stand-in or a daemon. */
  readonly setFault: (
    target: string,
    fault: Readonly<Record<string, unknown>>,
  ) => Promise<void>;
}

/** Delay of a slow reader after each chunk. */
const SLOW_READ_MS = 20;
/** Codes of this tool in addition to the result codes: the connection was refused, or it broke. */
const NOT_CONNECTED = -1;
const CONNECTION_BROKEN = -2;

/**
 * Runs a scenario as an open loop: each call starts at its planned time, whether or
 * not the earlier calls are complete.
 *
 * @param scenario Calls and faults.
 * @param parts Entries and fault injection.
 * @returns The results of all calls, in planned order.
 */
export async function runLoad(
  scenario: Scenario,
  parts: LoadParts,
): Promise<readonly LoadCall[]> {
  const planned = planCalls(scenario);
  const agent = new Agent({ connect: { timeout: 1_000 } });
  const callers = new Map(scenario.teams.map(({ token }) => [
    token,
    new Caller({ entries: parts.entries, token }),
  ]));
  const startMs = performance.now();
  const waitUntil = (atMs: number) =>
    waitFor(systemClock, Math.max(0, startMs + atMs - performance.now()));
  scenario.fault.forEach(({ at_s, target, set }) =>
    void waitUntil(at_s * 1_000).then(() => parts.setFault(target, set))
  );
  const calls = await Promise.all(planned.map(async (call) => {
    await waitUntil(call.atMs);
    const result = call.mix.kind === "non-idempotent"
      ? await runNonIdempotentCall(callers.get(call.token)!, call)
      : await runWithFailover(agent, parts.entries, call);
    const totalMs = performance.now() - startMs - call.atMs;
    return { ...result, atMs: call.atMs, totalMs };
  }));
  await Promise.all([...callers.values()].map((caller) => caller.close()));
  await agent.destroy();
  return calls;
}

function planCalls(scenario: Scenario): readonly PlannedCall[] {
  const random = createRandom(scenario.seed);
  const times = planTimes(scenario, random);
  return times.map((atMs, number) => ({
    atMs,
    number,
    mix: pickWeighted(scenario.mix, random),
    token: pickWeighted(scenario.teams, random).token,
  }));
}

function planTimes(scenario: Scenario, random: Random): readonly number[] {
  const { arrivals } = scenario;
  const endMs = scenario.duration_s * 1_000;
  switch (arrivals.kind) {
    case "trace":
      return readFileSync(arrivals.file, "utf8").split("\n").filter((line) =>
        line !== ""
      )
        .map((line) => (JSON.parse(line) as { readonly at_ms: number }).at_ms)
        .filter((atMs) => atMs < endMs);
    case "poisson":
      return planPoisson(random, endMs, {
        peak: arrivals.rate,
        rateAt: () => arrivals.rate,
      });
    case "rush": {
      const { from_s, to_s, peak_rate, rate } = arrivals;
      const isRush = (atMs: number) =>
        atMs >= from_s * 1_000 && atMs < to_s * 1_000;
      const rateAt = (atMs: number) => isRush(atMs) ? peak_rate : rate;
      return planPoisson(random, endMs, {
        peak: Math.max(rate, peak_rate),
        rateAt,
      });
    }
  }
}

function planPoisson(
  random: Random,
  endMs: number,
  rates: { readonly peak: number; readonly rateAt: (atMs: number) => number },
): readonly number[] {
  const times: number[] = [];
  let atMs = 0;
  while (true) {
    atMs += (-Math.log(1 - random.nextFloat()) / rates.peak) * 1_000;
    if (atMs >= endMs) return times;
    if (random.nextFloat() < rates.rateAt(atMs) / rates.peak) times.push(atMs);
  }
}

function pickWeighted<T extends { readonly weight: number }>(
  items: readonly T[],
  random: Random,
): T {
  let remaining = random.nextFloat() *
    items.reduce((sum, { weight }) => sum + weight, 0);
  return items.find(({ weight }) => (remaining -= weight) <= 0) ?? items[0]!;
}

const MAX_ENTRY_ATTEMPTS = 3;
/** Result code of an entry that is shutting down. */
const LEAVING_CODE = 1205;

/** Makes a call; tries another entry if one is unreachable or shutting down. */
async function runWithFailover(
  agent: Agent,
  entries: readonly string[],
  call: PlannedCall,
): Promise<LoadCall> {
  let last = createInitialResult(call);
  for (let attempt = 0; attempt < MAX_ENTRY_ATTEMPTS; attempt++) {
    last = await runModelCall(
      agent,
      entries[(call.number + attempt * 3) % entries.length]!,
      call,
    );
    if (last.code !== NOT_CONNECTED && last.code !== LEAVING_CODE) return last;
  }
  return last;
}

async function runNonIdempotentCall(
  caller: Caller,
  { mix, number }: PlannedCall,
): Promise<LoadCall> {
  const answer = await caller.call(mix.path, {
    body: { call: number },
    isNonIdempotent: true,
    idempotencyKey: `load-${number}-${randomUUID()}`,
    deadlineMs: mix.deadline_ms,
  });
  return {
    ...createInitialResult({ mix, number }),
    code: answer.code,
    isWhole: answer.code === 0,
    isInTime: answer.code === 0,
  };
}

async function runModelCall(
  agent: Agent,
  url: string,
  planned: PlannedCall,
): Promise<LoadCall> {
  const { mix, number, token } = planned;
  const startMs = performance.now();
  const disconnect = new AbortController();
  let firstTokenMs: number | undefined;
  let lastTokenMs = startMs;
  const gapsMs: number[] = [];
  const events: string[] = [];
  const parser = createParser({ onEvent: ({ data }) => events.push(data) });
  try {
    const { statusCode, headers, body } = await request(url + mix.path, {
      method: "POST",
      headers: createHeaders(mix, number, token),
      body: JSON.stringify(createChatRequest(mix, number)),
      dispatcher: agent,
      signal: disconnect.signal,
    });
    const servingRegion = headers["x-forwarded-region"];
    const partialResult = {
      ...createInitialResult(planned),
      remoteRegion: servingRegion === undefined
        ? undefined
        : String(servingRegion),
    };
    if (statusCode !== 200 || mix.kind === "whole") {
      const text = await body.text();
      const code = Number(headers["x-result-code"] ?? "0");
      const isWhole = code === 0 && text.includes('"finish_reason":"stop"');
      const durationMs = performance.now() - startMs;
      return {
        ...partialResult,
        code,
        isWhole,
        isInTime: durationMs <= mix.deadline_ms,
      };
    }
    for await (const chunk of body) {
      parser.feed(Buffer.from(chunk as Buffer).toString("utf8"));
      const nowMs = performance.now();
      if (firstTokenMs === undefined) firstTokenMs = nowMs - startMs;
      else gapsMs.push(nowMs - lastTokenMs);
      lastTokenMs = nowMs;
      if (mix.kind === "disconnect" && events.length >= 3) {
        disconnect.abort();
        return { ...partialResult, firstTokenMs, isDisconnected: true };
      }
      if (mix.kind === "slow-reader") {
        await waitFor(systemClock, SLOW_READ_MS);
      }
    }
    const error = events.find((data) => data.startsWith('{"error"'));
    const code = error === undefined
      ? 0
      : Number(/"code":(\d+)/.exec(error)?.[1]);
    const isWhole = code === 0 && events.at(-1) === "[DONE]" &&
      hasAllWords(events, mix);
    const isInTime = performance.now() - startMs <= mix.deadline_ms;
    return {
      ...partialResult,
      code,
      firstTokenMs,
      gapsMs,
      tokens: events.length - 2,
      isWhole,
      isInTime,
    };
  } catch (error) {
    const isRefused = (error as NodeJS.ErrnoException).code === "ECONNREFUSED";
    return {
      ...createInitialResult(planned),
      code: isRefused ? NOT_CONNECTED : CONNECTION_BROKEN,
    };
  }
}

/** Returns whether every word of the answer arrived exactly once and in order. */
function hasAllWords(events: readonly string[], mix: MixEntry): boolean {
  const words = events.flatMap((data) => {
    const match = /"content":"[0-9a-f]+-(\d+) "/.exec(data);
    return match === null ? [] : [Number(match[1])];
  });
  return words.length === mix.output_tokens &&
    words.every((word, index) => word === index);
}

function createHeaders(
  mix: MixEntry,
  number: number,
  token: string,
): Record<string, string> {
  return {
    "authorization": `Bearer ${token}`,
    "content-type": "application/json",
    "x-priority": mix.priority,
    "x-deadline-ms": String(mix.deadline_ms),
    ...(mix.sessions === 0
      ? {}
      : { "x-session": `session-${number % mix.sessions}` }),
  };
}

function createChatRequest(mix: MixEntry, number: number): unknown {
  const start = mix.sessions === 0
    ? `call ${number} `
    : `session ${number % mix.sessions} `;
  return {
    model: mix.model,
    stream: mix.kind !== "whole",
    max_tokens: mix.output_tokens,
    messages: [{ role: "user", content: start.padEnd(mix.prompt_bytes, "x") }],
  };
}

function createInitialResult(
  { mix, number }: { readonly mix: MixEntry; readonly number: number },
): LoadCall {
  return {
    mix: mix.name,
    atMs: number,
    code: 0,
    firstTokenMs: undefined,
    totalMs: 0,
    tokens: 0,
    gapsMs: [],
    isWhole: false,
    isInTime: false,
    remoteRegion: undefined,
    isDisconnected: false,
  };
}
