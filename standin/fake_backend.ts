import { err, ok, type Result } from "neverthrow";
import { type Clock, waitFor } from "../clock/mod.ts";
import type {
  BackendAnswer,
  BackendCall,
  BackendClient,
  DispatchFailure,
  EngineLoad,
  EngineState,
  OrderFailure,
  StreamEvent,
} from "../engine/mod.ts";
import { END_OF_STREAM } from "../engine/mod.ts";
import type { GatewayRequest, Reply } from "../filters/mod.ts";
import type { AttemptId } from "../ids/mod.ts";
import type { BackendServer } from "../resources/mod.ts";
import { EngineCore, type EngineSpeed } from "./engine_core.ts";

/** An engine in memory, with faults. */
export interface FakeEngine {
  readonly core: EngineCore;
  readonly region: string;
  /** It refuses connections. */
  isDown: boolean;
  /** Share of requests that it takes and then breaks. */
  failShare: number;
  /** Attempts that it has begun, with the question of each. */
  readonly runs: {
    readonly attempt: string;
    readonly body: string;
    readonly atMs: number;
  }[];
}

interface Stream {
  readonly pending: StreamEvent[];
  wake: () => void;
  isEnded: boolean;
}

/** Sizes of a call, as the fakes read them from its body. */
interface FakeBody {
  readonly stream?: boolean;
  readonly max_tokens?: number;
  readonly prompt_tokens?: number;
  readonly prefix?: string;
  readonly prefix_tokens?: number;
  /** The engine that runs it ends. */
  readonly ends_server?: boolean;
}

const RANKS: Readonly<Record<string, number>> = {
  interactive: 0,
  normal: 1,
  batch: 2,
};
/** After how long an engine that ended of a call is there again, in milliseconds. */
const BACK_AFTER_MS = 6_000;
const NEAR_MS = 1;
const FAR_MS = 25;

/** Backend servers and gateways in memory, behind the port of backend servers. */
export class FakeBackend {
  readonly engines = new Map<string, FakeEngine>();
  /** Gateways that take forwarded requests, by URL. */
  readonly gateways = new Map<
    string,
    {
      readonly region: string;
      readonly handle: (request: GatewayRequest) => Promise<Reply>;
    }
  >();
  /** Regions that are cut off from all others. */
  cutRegions: ReadonlySet<string> = new Set();
  readonly #clock: Clock;
  readonly #nextFloat: () => number;

  /**
   * @param clock Source of time.
   * @param nextFloat Source of failures.
   */
  constructor(clock: Clock, nextFloat: () => number) {
    this.#clock = clock;
    this.#nextFloat = nextFloat;
  }

  /** Adds an engine under a URL. */
  addEngine(url: string, region: string, speed: EngineSpeed): FakeEngine {
    const core = new EngineCore(this.#clock, speed);
    const engine = { core, region, isDown: false, failShare: 0, runs: [] };
    this.engines.set(url, engine);
    return engine;
  }

  /** Returns the port as daemons of one region see it. */
  createClient(region: string): BackendClient {
    return {
      dispatch: (call, signal) => this.#dispatch(region, call, signal),
      resume: () =>
        Promise.resolve(
          err({
            kind: "broken",
            message: "Cannot resume: the engine has died",
          }),
        ),
      cancel: (server, attempt) => {
        this.engines.get(server.url)?.core.cancel(attempt);
        return Promise.resolve();
      },
      readLoad: (server) => this.#readLoad(server),
      order: () => Promise.resolve(ok<void, OrderFailure>(undefined)),
      readState: () =>
        Promise.resolve(
          err<EngineState, DispatchFailure>({
            kind: "broken",
            message: "none",
          }),
        ),
    };
  }

  async #dispatch(
    region: string,
    call: BackendCall,
    signal: AbortSignal,
  ): Promise<Result<BackendAnswer, DispatchFailure>> {
    const gateway = this.gateways.get(call.server.url);
    if (gateway !== undefined) {
      return await this.#forward(region, gateway, { call, signal });
    }
    const engine = this.engines.get(call.server.url);
    await waitFor(this.#clock, NEAR_MS);
    if (engine === undefined || engine.isDown) {
      return err({ kind: "not-sent", message: "Cannot connect: refused" });
    }
    const body = JSON.parse(
      Buffer.from(call.body ?? "{}").toString(),
    ) as FakeBody;
    engine.runs.push({
      attempt: call.attempt,
      body: JSON.stringify(body),
      atMs: this.#clock.nowMs(),
    });
    if (body.ends_server === true) {
      engine.isDown = true;
      this.#clock.schedule(BACK_AFTER_MS, () => {
        engine.isDown = false;
      });
      return err({
        kind: "broken",
        message: "The engine has ended",
        isClosed: true,
      });
    }
    if (this.#nextFloat() < engine.failShare) {
      return err({ kind: "broken", message: "The connection broke" });
    }
    const answer = this.#run(engine, { call, body, signal });
    return ok(call.isStream ? answer : await gatherAnswer(answer));
  }

  #run(
    engine: FakeEngine,
    run: {
      readonly call: BackendCall;
      readonly body: FakeBody;
      readonly signal: AbortSignal;
    },
  ): BackendAnswer {
    const { call, body, signal } = run;
    const stream: Stream = { pending: [], wake: () => {}, isEnded: false };
    let index = 0;
    const push = (data: string) => {
      stream.pending.push({ attempt: call.attempt, index: index++, data });
      stream.wake();
    };
    const end = () => {
      stream.isEnded = true;
      stream.wake();
    };
    const load = engine.core.readLoad();
    engine.core.submit({
      id: call.attempt,
      promptTokens: body.prompt_tokens ?? 100,
      prefix: body.prefix,
      prefixTokens: body.prefix_tokens ?? 0,
      outputTokens: body.max_tokens ?? 16,
      rank: RANKS[call.headers["x-priority"] ?? ""] ?? 1,
      onToken: (token) =>
        push(`{"choices":[{"delta":{"content":"${token} "}}]}`),
      onEnd: () => {
        push(END_OF_STREAM);
        end();
      },
    });
    signal.addEventListener("abort", () => {
      engine.core.cancel(call.attempt);
      end();
    }, { once: true });
    return { kind: "stream", events: readStream(stream), load };
  }

  async #forward(
    region: string,
    gateway: {
      readonly region: string;
      readonly handle: (request: GatewayRequest) => Promise<Reply>;
    },
    sent: { readonly call: BackendCall; readonly signal: AbortSignal },
  ): Promise<Result<BackendAnswer, DispatchFailure>> {
    const { call, signal } = sent;
    const isCut = this.cutRegions.has(region) ||
      this.cutRegions.has(gateway.region);
    if (isCut) {
      await waitFor(this.#clock, 1_000);
      return err({ kind: "not-sent", message: "Cannot connect: timed out" });
    }
    await waitFor(this.#clock, FAR_MS);
    const reply = await gateway.handle({
      method: call.method,
      path: call.path,
      query: "",
      headers: call.headers,
      readBody: () => Promise.resolve(ok(Buffer.from(call.body ?? ""))),
      signal,
    });
    await waitFor(this.#clock, FAR_MS);
    if (reply.kind === "events") {
      const events = toStreamEvents(reply.events, call.attempt);
      return ok({ kind: "stream", events, load: undefined });
    }
    const body = Buffer.from(reply.body);
    if (reply.headers["x-ran"] === "not-run") {
      return err({
        kind: "refused",
        message: body.toString(),
        retryAfterMs: 1_000,
      });
    }
    return ok({
      kind: "whole",
      status: reply.status,
      headers: reply.headers,
      body,
      load: undefined,
    });
  }

  async #readLoad(
    server: BackendServer,
  ): Promise<Result<EngineLoad, DispatchFailure>> {
    await waitFor(this.#clock, 2 * NEAR_MS);
    const engine = this.engines.get(server.url);
    if (engine === undefined || engine.isDown) {
      return err({ kind: "not-sent", message: "Cannot connect: refused" });
    }
    return ok(engine.core.readLoad());
  }
}

/** Returns the whole answer of a call that asked for no stream. */
async function gatherAnswer(answer: BackendAnswer): Promise<BackendAnswer> {
  if (answer.kind === "whole") return answer;
  const texts: string[] = [];
  for await (const { data } of answer.events) texts.push(data);
  const choices = [{ text: texts.slice(0, -1).join("") }];
  const usage = { completion_tokens: texts.length - 1 };
  return {
    kind: "whole",
    status: 200,
    headers: { "content-type": "application/json" },
    body: Buffer.from(JSON.stringify({ choices, usage })),
    load: answer.load,
  };
}

async function* readStream(stream: Stream): AsyncGenerator<StreamEvent> {
  while (true) {
    const event = stream.pending.shift();
    if (event !== undefined) yield event;
    else if (stream.isEnded) return;
    else await new Promise<void>((resolve) => (stream.wake = resolve));
  }
}

async function* toStreamEvents(
  events: AsyncIterable<{ readonly data: string; readonly id?: string }>,
  attempt: AttemptId,
): AsyncGenerator<StreamEvent> {
  let index = 0;
  for await (const { data } of events) yield { attempt, index: index++, data };
}
