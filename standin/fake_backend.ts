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
import { END_OF_STREAM, MAY_BE_CUT_HEADER } from "../engine/mod.ts";
import type { GatewayRequest, Reply } from "../filters/mod.ts";
import type { AttemptId } from "../ids/mod.ts";
import type { BackendServer } from "../resources/mod.ts";
import { EngineCore, type EngineSpeed } from "./engine_core.ts";

/** A model engine in memory, with faults that can be set. */
export interface FakeEngine {
  readonly core: EngineCore;
  readonly region: string;
  /** Whether the engine refuses connections. */
  isDown: boolean;
  /** Fraction of the accepted requests whose connection is then broken, from 0 to 1. */
  failShare: number;
  /** Whether whole answers tell where they end. */
  tellsEnds: boolean;
  /** Attempts that reached the engine, with the body and time of each. */
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

/** Fields of a request body that the fake engines read. */
interface FakeRequestBody {
  readonly stream?: boolean;
  readonly max_tokens?: number;
  readonly prompt_tokens?: number;
  readonly prefix?: string;
  readonly prefix_tokens?: number;
  /** Whether the request crashes the engine that runs it. */
  readonly ends_server?: boolean;
}

const PRIORITY_RANKS: Readonly<Record<string, number>> = {
  interactive: 0,
  normal: 1,
  batch: 2,
};
/** Time from the crash of an engine to its restart, in milliseconds. */
const RESTART_DELAY_MS = 6_000;
/** One-way latency from an instance to an engine, in milliseconds. */
const LOCAL_LATENCY_MS = 1;
/** One-way latency from an instance to a gateway that it forwards to, in milliseconds. */
const REMOTE_LATENCY_MS = 25;

/** Model engines and gateways in memory, reached through the {@linkcode BackendClient} port. */
export class FakeBackend {
  readonly engines = new Map<string, FakeEngine>();
  /** Gateways that accept forwarded requests, by URL. */
  readonly gateways = new Map<
    string,
    {
      readonly region: string;
      readonly handle: (request: GatewayRequest) => Promise<Reply>;
    }
  >();
  /** Regions whose connections to all other regions are cut. */
  cutRegions: ReadonlySet<string> = new Set();
  readonly #clock: Clock;
  readonly #nextFloat: () => number;

  /**
   * @param clock Source of time.
   * @param nextFloat Source of random numbers from 0 to 1, which decide whether a request fails.
   */
  constructor(clock: Clock, nextFloat: () => number) {
    this.#clock = clock;
    this.#nextFloat = nextFloat;
  }

  /** Adds an engine that is reached at a URL. */
  addEngine(url: string, region: string, speed: EngineSpeed): FakeEngine {
    const core = new EngineCore(this.#clock, speed);
    const engine = {
      core,
      region,
      isDown: false,
      failShare: 0,
      tellsEnds: true,
      runs: [],
    };
    this.engines.set(url, engine);
    return engine;
  }

  /**
   * Returns the client that a daemon uses.
   *
   * @param region Region of the daemon.
   * @param isCutOff Returns whether the daemon reaches no engine, but other daemons. Default: never.
   */
  createClient(
    region: string,
    isCutOff: () => boolean = () => false,
  ): BackendClient {
    return {
      dispatch: (call, signal) =>
        isCutOff() && this.engines.has(call.server.url)
          ? this.#refuseConnection()
          : this.#dispatch(region, call, signal),
      resume: () =>
        Promise.resolve(
          err({
            kind: "broken",
            message: "Cannot resume the stream: the engine crashed",
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
            message: "Cannot read the engine state: it is not available",
          }),
        ),
    };
  }

  async #refuseConnection(): Promise<Result<never, DispatchFailure>> {
    await waitFor(this.#clock, LOCAL_LATENCY_MS);
    return err({ kind: "not-sent", message: "Cannot connect: refused" });
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
    if (engine === undefined || engine.isDown) {
      return await this.#refuseConnection();
    }
    await waitFor(this.#clock, LOCAL_LATENCY_MS);
    const body = JSON.parse(
      Buffer.from(call.body ?? "{}").toString(),
    ) as FakeRequestBody;
    engine.runs.push({
      attempt: call.attempt,
      body: JSON.stringify(body),
      atMs: this.#clock.nowMs(),
    });
    if (body.ends_server === true) {
      engine.isDown = true;
      this.#clock.schedule(RESTART_DELAY_MS, () => {
        engine.isDown = false;
      });
      return err({
        kind: "broken",
        message: "The engine crashed while it ran the request",
        isClosed: true,
      });
    }
    if (this.#nextFloat() < engine.failShare) {
      return err({
        kind: "broken",
        message: "The connection to the engine broke",
      });
    }
    const answer = this.#run(engine, { call, body, signal });
    if (call.isStream) return ok(answer);
    const whole = await gatherAnswer(answer);
    return ok(engine.tellsEnds ? whole : { ...whole, mayBeCut: true });
  }

  #run(
    engine: FakeEngine,
    run: {
      readonly call: BackendCall;
      readonly body: FakeRequestBody;
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
      rank: PRIORITY_RANKS[call.headers["x-priority"] ?? ""] ?? 1,
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
    await waitFor(this.#clock, REMOTE_LATENCY_MS);
    const reply = await gateway.handle({
      method: call.method,
      path: call.path,
      query: "",
      headers: call.headers,
      readBody: () => Promise.resolve(ok(Buffer.from(call.body ?? ""))),
      signal,
    });
    await waitFor(this.#clock, REMOTE_LATENCY_MS);
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
      mayBeCut: reply.headers[MAY_BE_CUT_HEADER] !== undefined,
      load: undefined,
    });
  }

  async #readLoad(
    server: BackendServer,
  ): Promise<Result<EngineLoad, DispatchFailure>> {
    await waitFor(this.#clock, 2 * LOCAL_LATENCY_MS);
    const engine = this.engines.get(server.url);
    if (engine === undefined || engine.isDown) {
      return err({ kind: "not-sent", message: "Cannot connect: refused" });
    }
    return ok(engine.core.readLoad());
  }
}

/** Collects the events of a stream into the answer to a call that did not ask for a stream. */
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
