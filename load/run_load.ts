import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { createParser } from "eventsource-parser";
import { Agent, request } from "undici";
import { Caller } from "../client/mod.ts";
import { systemClock } from "../adapters/system_clock.ts";
import { createRandom, type Random, waitFor } from "../clock/mod.ts";
import type { LoadCall } from "./load_report.ts";
import type { Scenario } from "./scenario.ts";

type Mix = Scenario["mix"][number];

interface PlannedCall {
  readonly atMs: number;
  readonly mix: Mix;
  readonly token: string;
  readonly number: number;
}

/** What a run needs beside its scenario. */
export interface LoadParts {
  readonly entries: readonly string[];
  /** Sets a fault at a stand-in. */
  readonly setFault: (
    target: string,
    fault: Readonly<Record<string, unknown>>,
  ) => Promise<void>;
}

const SLOW_READ_MS = 20;
/** Codes of this tool, beside those of the system: no connection, and one that broke. */
const NOT_CONNECTED = -1;
const BROKEN = -2;

/**
 * Runs a scenario: open loop, so that a call starts at its time however the
 * earlier ones fare.
 *
 * @param scenario What to do.
 * @param parts Entries and stand-ins.
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
      ? await runOnce(callers.get(call.token)!, call)
      : await runAtEntries(agent, parts.entries, call);
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
  let left = random.nextFloat() *
    items.reduce((sum, { weight }) => sum + weight, 0);
  return items.find(({ weight }) => (left -= weight) <= 0) ?? items[0]!;
}

const ENTRY_TRIES = 3;
const LEAVING_CODE = 1205;

/** A caller moves on from an entry that is away or leaving. */
async function runAtEntries(
  agent: Agent,
  entries: readonly string[],
  call: PlannedCall,
): Promise<LoadCall> {
  let last = createCall(call);
  for (let tries = 0; tries < ENTRY_TRIES; tries++) {
    last = await runStream(
      agent,
      entries[(call.number + tries * 3) % entries.length]!,
      call,
    );
    if (last.code !== NOT_CONNECTED && last.code !== LEAVING_CODE) return last;
  }
  return last;
}

async function runOnce(
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
    ...createCall({ mix, number }),
    code: answer.code,
    isWhole: answer.code === 0,
    isInTime: answer.code === 0,
  };
}

async function runStream(
  agent: Agent,
  url: string,
  planned: PlannedCall,
): Promise<LoadCall> {
  const { mix, number, token } = planned;
  const startMs = performance.now();
  const ended = new AbortController();
  let firstTokenMs: number | undefined;
  let lastMs = startMs;
  const gapsMs: number[] = [];
  const seen: string[] = [];
  const parser = createParser({ onEvent: ({ data }) => seen.push(data) });
  try {
    const { statusCode, headers, body } = await request(url + mix.path, {
      method: "POST",
      headers: createHeaders(mix, number, token),
      body: JSON.stringify(createBody(mix, number)),
      dispatcher: agent,
      signal: ended.signal,
    });
    const away = headers["x-forwarded-region"];
    const known = {
      ...createCall(planned),
      awayRegion: away === undefined ? undefined : String(away),
    };
    if (statusCode !== 200 || mix.kind === "whole") {
      const text = await body.text();
      const code = Number(headers["x-result-code"] ?? "0");
      const isWhole = code === 0 && text.includes('"finish_reason":"stop"');
      const tookMs = performance.now() - startMs;
      return { ...known, code, isWhole, isInTime: tookMs <= mix.deadline_ms };
    }
    for await (const chunk of body) {
      parser.feed(Buffer.from(chunk as Buffer).toString("utf8"));
      const nowMs = performance.now();
      if (firstTokenMs === undefined) firstTokenMs = nowMs - startMs;
      else gapsMs.push(nowMs - lastMs);
      lastMs = nowMs;
      if (mix.kind === "disconnect" && seen.length >= 3) {
        ended.abort();
        return { ...known, firstTokenMs, isDisconnected: true };
      }
      if (mix.kind === "slow-reader") {
        await waitFor(systemClock, SLOW_READ_MS);
      }
    }
    const error = seen.find((data) => data.startsWith('{"error"'));
    const code = error === undefined
      ? 0
      : Number(/"code":(\d+)/.exec(error)?.[1]);
    const isWhole = code === 0 && seen.at(-1) === "[DONE]" &&
      isComplete(seen, mix);
    const isInTime = performance.now() - startMs <= mix.deadline_ms;
    return {
      ...known,
      code,
      firstTokenMs,
      gapsMs,
      tokens: seen.length - 2,
      isWhole,
      isInTime,
    };
  } catch (error) {
    const isRefused = (error as NodeJS.ErrnoException).code === "ECONNREFUSED";
    return { ...createCall(planned), code: isRefused ? NOT_CONNECTED : BROKEN };
  }
}

/** Every word of the answer is there, each once and in order. */
function isComplete(seen: readonly string[], mix: Mix): boolean {
  const words = seen.flatMap((data) => {
    const match = /"content":"[0-9a-f]+-(\d+) "/.exec(data);
    return match === null ? [] : [Number(match[1])];
  });
  return words.length === mix.output_tokens &&
    words.every((word, index) => word === index);
}

function createHeaders(
  mix: Mix,
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

function createBody(mix: Mix, number: number): unknown {
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

function createCall(
  { mix, number }: { readonly mix: Mix; readonly number: number },
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
    awayRegion: undefined,
    isDisconnected: false,
  };
}
