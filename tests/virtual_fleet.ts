import type { InstanceLimits } from "../capacity/mod.ts";
import { createRandom, VirtualClock } from "../clock/mod.ts";
import type { HttpGateway } from "../daemon/http_gateway.ts";
import { decodeReport, encodeReport, type SendReport } from "../fleet/mod.ts";
import {
  type AnswerHead,
  type CallOrigin,
  type CallSink,
  readHop,
  type SendEvents,
  type SendRequest,
  type ServerClient,
} from "../forwarding/mod.ts";
import type { RouteTable } from "../http_routes/mod.ts";
import { toFailureDomainId, toRegionId } from "../ids/mod.ts";
import { createServerEntry } from "./member_fixture.ts";
import { createHeadSink } from "./opaque_call_fixture.ts";
import { PROMPT_HEADER_CODEC, writePromptHeaders } from "./prompt_fixture.ts";
import { createVirtualGateway } from "./virtual_gateway.ts";
import { VirtualLinks } from "./virtual_links.ts";

/** One-way network delay within a region (`near`) and between regions (`far`), in milliseconds. */
const DELAY_MS = { near: 1, far: 55 } as const;
/** Host of all calls. */
const HOST = "app.example";

/** A request that reached a backend server. */
export interface Arrival {
  readonly atMs: number;
  /** Id of the server. */
  readonly server: string;
  /** Address of the sending instance. */
  readonly from: string;
  readonly callId: string;
  readonly target: string;
  readonly body: string;
  /** Shared parts of the call's prompt, in order; the caller's own last part is left out. */
  readonly parts: readonly string[];
}

/** How a backend server responds to a call. */
export type ServerAction =
  | {
    readonly kind: "answer";
    readonly afterMs: number;
    /** Default: 200. */
    readonly status?: number;
  }
  /** The server runs the call, then crashes together with all its calls. */
  | { readonly kind: "end"; readonly afterMs: number }
  /** The server refuses the call at once and states that it did not run it. */
  | { readonly kind: "reject"; readonly headers: readonly string[] };

/** Outcome of a call, as its caller saw it. */
export interface CallOutcome {
  readonly status: number;
  readonly headers: readonly string[];
}

/** What a call to a virtual fleet consists of. */
export interface VirtualCall {
  /** Body; calls with the same method, host, target and body have the same content. */
  readonly body: string;
  /** Address of the instance that is called. Default: a random one. */
  readonly address?: string;
  /** Path. Default: one of route `/a/`. */
  readonly target?: string;
  /** Parts of the prompt, in order; the last one is the caller's own. Default: no prompt. */
  readonly parts?: readonly string[];
  /** Model of the prompt. Default: `m`. */
  readonly model?: string;
}

/** Sizes of a fleet, and behaviour of its servers and network. */
export interface VirtualFleetParts {
  /** Number of instances and servers by region. */
  readonly regions: Readonly<
    Record<string, { readonly instances: number; readonly servers: number }>
  >;
  readonly table: RouteTable;
  /** Slots of each server. Default: 64. */
  readonly slots?: number;
  /** Decides how a server responds to a call. */
  readonly decide: (arrival: Arrival) => ServerAction;
  /** Time after which a crashed server is replaced, in milliseconds. Default: never. */
  readonly replacedAfterMs?: number;
  /** Returns headers that a server adds to each answer besides the call's id. Default: none. */
  readonly answerHeaders?: (server: string) => readonly string[];
  /** Limits of instances by address. Default: unknown. */
  readonly limits?: Readonly<Record<string, InstanceLimits>>;
  /** Share of datagrams that are lost. Default: 0. */
  readonly lostShare?: number;
  /** Seed of the instances that are called and of the datagrams that are lost. Default: 11. */
  readonly seed?: number;
  /** Returns whether all datagrams are lost at present. Default: never. */
  readonly isCut?: () => boolean;
}

interface VirtualServer {
  readonly id: string;
  readonly region: string;
  readonly runningCalls: Set<SendEvents>;
  hasCrashed: boolean;
}

/**
 * Real gateways on a virtual network: they exchange reports, and send calls to
 * simulated backend servers that may crash while they have calls.
 */
export class VirtualFleet {
  readonly clock = new VirtualClock();
  /** Links of the instances to all servers. */
  readonly links = new VirtualLinks(this.clock);
  readonly gateways = new Map<string, HttpGateway>();
  /** All requests that reached a server, in order. */
  readonly arrivals: Arrival[] = [];
  /** Bytes of all reports sent, also of those that were lost. */
  reportBytes = 0;
  readonly #parts: VirtualFleetParts;
  readonly #random;
  readonly #servers = new Map<string, VirtualServer>();
  readonly #stopping = new AbortController();
  #startedServerCount = 0;
  #callCount = 0;

  /** @param parts Sizes of the fleet, and behaviour of its servers and network. */
  constructor(parts: VirtualFleetParts) {
    this.#parts = parts;
    this.#random = createRandom(parts.seed ?? 11);
    Object.entries(parts.regions).forEach(([region, { instances }]) =>
      Array.from(
        { length: instances },
        (_, at) => this.start(`${region}-${at}`),
      )
    );
    Object.entries(parts.regions).forEach(([region, { servers }]) =>
      Array.from({ length: servers }, () => this.#startServer(region))
    );
  }

  /** Starts an instance; it replaces the one at this address, if any. */
  start(address: string): HttpGateway {
    const names = Object.entries(this.#parts.regions)
      .flatMap(([region, { instances }]) =>
        Array.from({ length: instances }, (_, at) => `${region}-${at}`)
      );
    const gateway = createVirtualGateway(address, {
      self: {
        ...createVirtualGateway(address).fleet.self,
        address: toVirtualAddress(address),
      },
      clock: this.clock,
      random: createRandom(this.gateways.size + 1),
      headerCodec: PROMPT_HEADER_CODEC,
      client: this.#createServerClient(address),
      peerClient: this.#createPeerClient(address),
      probeServer: (server) => this.#probe(address, server),
      sendReport: this.#createSendReport(address),
      seedAddresses: names.slice(0, 3).map(toVirtualAddress),
      instanceLimits: this.#parts.limits?.[address] ?? {},
      retryBounds: { ratio: 1, slack: 1_000, windowMs: 10_000 },
    });
    gateway.forwarder.setTable(this.#parts.table);
    this.gateways.set(address, gateway);
    gateway.start(this.#stopping.signal);
    this.#servers.forEach((server) => this.#register(gateway, server));
    return gateway;
  }

  /** Crashes an instance: it sends and receives nothing more. */
  crash(address: string): void {
    this.gateways.delete(address);
  }

  /** Stops all instances. */
  stop(): void {
    this.#stopping.abort("stopped");
  }

  /**
   * Sends a call to an instance and returns its outcome.
   *
   * @param body Content; calls with the same content have the same fingerprint.
   * @param address Address of the instance. Default: a random one.
   * @param target Path. Default: one of route `/a/`.
   */
  call(
    body: string,
    address?: string,
    target?: string,
  ): Promise<CallOutcome> {
    return this.send({
      body,
      ...(address === undefined ? {} : { address }),
      ...(target === undefined ? {} : { target }),
    });
  }

  /** Sends a call, which may have a prompt, to an instance and returns its outcome. */
  send(
    {
      address = this.#pickAddress(),
      body,
      model = "m",
      parts = [],
      target = "/a/x",
    }: VirtualCall,
  ): Promise<CallOutcome> {
    const callId = `c${this.#callCount++}`;
    const headers = [
      "Host",
      HOST,
      "X-Call-Id",
      callId,
      "X-Deadline-Ms",
      "2000",
      ...writePromptHeaders(model, parts),
    ];
    return new Promise((resolve) => {
      this.#deliver(address, { kind: "caller" }, {
        request: {
          address,
          method: "POST",
          target,
          headers,
          body: Buffer.from(body),
          maxConnections: 1,
        },
        sink: createSink((head) => resolve(head)),
      });
    });
  }

  #pickAddress(): string {
    const addresses = [...this.gateways.keys()];
    return addresses[Math.floor(this.#random.nextFloat() * addresses.length)]!;
  }

  #deliver(
    address: string,
    origin: CallOrigin,
    { request, sink }: {
      readonly request: SendRequest;
      readonly sink: CallSink;
    },
  ): void {
    void this.gateways.get(address)!.handle({
      method: request.method,
      target: request.target,
      headers: request.headers,
      body: request.body,
      receivedMs: this.clock.nowMs(),
      unreadMs: 0,
      origin,
    }, sink);
  }

  #startServer(region: string): void {
    const server: VirtualServer = {
      id: `${region}-server-${this.#startedServerCount++}`,
      region,
      runningCalls: new Set(),
      hasCrashed: false,
    };
    this.#servers.set(server.id, server);
    this.gateways.forEach((gateway) => this.#register(gateway, server));
  }

  #register(gateway: HttpGateway, { id, region }: VirtualServer): void {
    gateway.registry.put(
      createServerEntry(id, {
        address: id,
        region: toRegionId(region),
        failureDomain: toFailureDomainId(`${region}-a`),
        slots: this.#parts.slots ?? 64,
      }),
      this.clock.nowMs(),
    );
  }

  #crashServer(server: VirtualServer): void {
    if (server.hasCrashed) return;
    server.hasCrashed = true;
    const lostCalls = [...server.runningCalls];
    server.runningCalls.clear();
    lostCalls.forEach((events) =>
      events.onFailure({ kind: "closed", message: "other side closed" })
    );
    const { replacedAfterMs } = this.#parts;
    if (replacedAfterMs === undefined) return;
    this.clock.schedule(replacedAfterMs, () => {
      this.#servers.delete(server.id);
      this.gateways.forEach(({ registry, forwarder }) => {
        registry.replaceAll(
          registry.servers.map(({ entry }) => entry)
            .filter(({ id }) => id !== server.id),
          this.clock.nowMs(),
          0,
        );
        forwarder.forgetUnregisteredServers();
      });
      this.#startServer(server.region);
    });
  }

  #createServerClient(from: string): ServerClient {
    return {
      send: (request, events) => {
        const server = this.#servers.get(request.address);
        if (server === undefined || server.hasCrashed) {
          queueMicrotask(() =>
            events.onFailure({ kind: "not-sent", message: "refused" })
          );
          return { resume: () => {}, abort: () => {} };
        }
        const failed = this.links.take(from, server.id, events);
        if (failed !== undefined) return failed;
        const { callId, prompt } = PROMPT_HEADER_CODEC.readCall(
          request.headers,
        );
        const arrival: Arrival = {
          atMs: this.clock.nowMs(),
          server: server.id,
          from,
          callId,
          target: request.target,
          body: request.body.toString(),
          parts: prompt?.parts.slice(0, -1).map(({ id }) => id) ?? [],
        };
        this.arrivals.push(arrival);
        server.runningCalls.add(events);
        this.links.begin(from, events);
        const ignoreIfEnded = (callback: () => void) => () => {
          if (server.runningCalls.has(events)) callback();
        };
        const sendAnswer = (status: number, headers: readonly string[]) => {
          server.runningCalls.delete(events);
          if (!this.links.end(from, server.id, events)) return;
          const ownHeaders = this.#parts.answerHeaders?.(server.id) ?? [];
          events.onHead({
            status,
            statusText: "",
            headers: ["X-Call-Id", arrival.callId, ...headers, ...ownHeaders],
          });
          events.onEnd([]);
        };
        const action = this.#parts.decide(arrival);
        switch (action.kind) {
          case "answer":
            this.clock.schedule(
              action.afterMs,
              ignoreIfEnded(() => sendAnswer(action.status ?? 200, [])),
            );
            break;
          case "end":
            this.clock.schedule(
              action.afterMs,
              ignoreIfEnded(() => this.#crashServer(server)),
            );
            break;
          case "reject":
            this.clock.schedule(
              DELAY_MS.near,
              ignoreIfEnded(() =>
                sendAnswer(503, ["X-Not-Run", "1", ...action.headers])
              ),
            );
            break;
        }
        return {
          resume: () => {},
          abort: () => {
            server.runningCalls.delete(events);
            this.links.abort(from, events);
          },
        };
      },
    };
  }

  async #probe(from: string, address: string): Promise<boolean> {
    if (!await this.links.probe(from)) return false;
    const server = this.#servers.get(address);
    return server !== undefined && !server.hasCrashed;
  }

  #createPeerClient(from: string): ServerClient {
    return {
      send: (request, events) => {
        const hop = readHop(request.headers)!;
        const abandoned = new AbortController();
        const to = toVirtualName(request.address);
        const delayMs = this.#readDelayMs(from, to);
        if (!this.gateways.has(to)) {
          this.clock.schedule(
            delayMs,
            () => events.onFailure({ kind: "not-sent", message: "refused" }),
          );
          return { resume: () => {}, abort: () => {} };
        }
        const sink: CallSink = {
          ...createSink(() => {}),
          signal: abandoned.signal,
          begin: (head) => void events.onHead(head),
          end: (trailers) => events.onEnd(trailers),
          abort: () =>
            events.onFailure({ kind: "closed", message: "broken off" }),
        };
        this.clock.schedule(
          delayMs,
          () =>
            this.gateways.has(to)
              ? this.#deliver(to, { kind: "instance", hop }, { request, sink })
              : events.onFailure({ kind: "closed", message: "crashed" }),
          abandoned.signal,
        );
        return { resume: () => {}, abort: () => abandoned.abort("given up") };
      },
    };
  }

  #createSendReport(from: string): SendReport {
    return (report, addresses) => {
      const datagram = encodeReport(report);
      const names = addresses.map(toVirtualName);
      names.filter((to) => to !== from).forEach((to) => {
        this.reportBytes += datagram.length;
        if (this.#random.nextFloat() < (this.#parts.lostShare ?? 0)) return;
        if (this.#parts.isCut?.() || !this.gateways.has(from)) return;
        this.clock.schedule(
          this.#readDelayMs(from, to),
          () =>
            this.gateways.get(to)?.receiveReport(
              decodeReport(datagram)!,
              toVirtualAddress(from),
            ),
        );
      });
    };
  }

  #readDelayMs(from: string, to: string): number {
    return from.split("-")[0] === to.split("-")[0]
      ? DELAY_MS.near
      : DELAY_MS.far;
  }
}

/** Returns the address that instances report of the one with a name. */
function toVirtualAddress(name: string): string {
  return `${name}:1`;
}

function toVirtualName(address: string): string {
  return address.split(":")[0]!;
}

/** Returns a sink that passes on the head of an answer, with status 0 if the answer is broken off. */
function createSink(begin: (head: AnswerHead) => void): CallSink {
  return {
    ...createHeadSink(begin),
    abort: () => begin({ status: 0, statusText: "", headers: [] }),
  };
}
