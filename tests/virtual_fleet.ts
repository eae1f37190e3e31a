import type { InstanceLimits } from "../capacity/mod.ts";
import { setMaxListeners } from "node:events";
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
  type VersionRules,
} from "../forwarding/mod.ts";
import type { RouteTable } from "../http_routes/mod.ts";
import type { RegisteredServer } from "../servers/mod.ts";
import { toFailureDomainId, toRegionId, toServerVersion } from "../ids/mod.ts";
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
  /** Version of the server. */
  readonly version: string;
  /** Address of the sending instance. */
  readonly from: string;
  readonly callId: string;
  readonly target: string;
  readonly body: string;
  /** Id after which a stream is resumed; `undefined` if it is not. */
  readonly lastEventId: string | undefined;
  /** Calls that the server works on, this one included. */
  readonly running: number;
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
  /** A stream of events, ids from 1 on or after the one resumed, each naming the server's version. */
  | {
    readonly kind: "stream";
    readonly afterMs: number;
    readonly gapMs: number;
    /** Id of the last event. */
    readonly events: number;
    /** Id of the event after which the connection closes. Default: none. */
    readonly cutAfter?: number;
  }
  /** The server runs the call and closes its connection without an answer. */
  | { readonly kind: "lose"; readonly afterMs: number }
  /** The server runs the call, then crashes together with all its calls. */
  | { readonly kind: "end"; readonly afterMs: number }
  /** The server refuses the call at once and states that it did not run it. */
  | { readonly kind: "reject"; readonly headers: readonly string[] };

/** Outcome of a call, as its caller saw it. */
export interface CallOutcome {
  readonly status: number;
  readonly headers: readonly string[];
  /** What the caller received, for calls that await the whole answer. */
  readonly body?: string;
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
  /** Whether the outcome is that of the whole answer, not of its head. Default: no. */
  readonly awaitsEnd?: boolean;
}

/** Sizes of a fleet, and behaviour of its servers and network. */
export interface VirtualFleetParts {
  /** Number of instances and servers by region. */
  readonly regions: Readonly<
    Record<string, { readonly instances: number; readonly servers: number }>
  >;
  /** Version of the servers that the fleet starts with. Default: `v1`. */
  readonly version?: string;
  /** Creates the rules on versions of an instance that starts. Default: none. */
  readonly createRollouts?: (
    address: string,
    clock: VirtualClock,
  ) => VersionRules;
  /** Called when the servers that an instance knows have changed. Default: nothing. */
  readonly onServers?: (address: string, gateway: HttpGateway) => void;
  readonly table: RouteTable;
  /** Slots of each server. Default: 64. */
  readonly slots?: number;
  /** Decides how a server responds to a call. */
  readonly decide: (arrival: Arrival) => ServerAction;
  /** Returns until when a server sends no event of any stream. Default: it always sends. */
  readonly readSilentUntilMs?: (server: string) => number;
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
  /** Returns whether datagrams between two instances are lost at present. Default: never. */
  readonly isCut?: (from: string, to: string) => boolean;
}

interface VirtualServer {
  readonly id: string;
  readonly region: string;
  readonly version: string;
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
  readonly #stopping = new Map<string, AbortController>();
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
      this.startServers(region, servers)
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
      versionRules: this.#parts.createRollouts?.(address, this.clock),
      client: this.#createServerClient(address),
      peerClient: this.#createPeerClient(address),
      probeServer: (server) => this.#probe(address, server),
      sendReport: this.#createSendReport(address),
      seedAddresses: names.slice(0, 3).map(toVirtualAddress),
      instanceLimits: this.#parts.limits?.[address] ?? {},
      retryBounds: { ratio: 1, slack: 1_000, windowMs: 10_000 },
    });
    gateway.forwarder.setTable(this.#parts.table);
    this.#stopping.get(address)?.abort("replaced");
    const stopping = new AbortController();
    setMaxListeners(0, stopping.signal);
    this.#stopping.set(address, stopping);
    this.gateways.set(address, gateway);
    gateway.start(stopping.signal);
    this.#servers.forEach((server) => this.#register(gateway, server));
    this.#parts.onServers?.(address, gateway);
    return gateway;
  }

  /** Crashes an instance: it sends and receives nothing more. */
  crash(address: string): void {
    this.gateways.delete(address);
  }

  /** Starts servers of a version in a region, and returns their ids. */
  startServers(
    region: string,
    count: number,
    version = this.#parts.version ?? "v1",
  ): readonly string[] {
    const ids = Array.from(
      { length: count },
      () => this.#startServer(region, version).id,
    );
    this.gateways.forEach((gateway, address) =>
      this.#parts.onServers?.(address, gateway)
    );
    return ids;
  }

  /** Stops all servers of a version without draining: their calls get no answer. */
  stopServers(version: string): void {
    const stopped = [...this.#servers.values()]
      .filter((server) => server.version === version);
    stopped.forEach((server) => this.#loseCalls(server));
    this.#unregister(stopped);
  }

  /** Stops all instances. */
  stop(): void {
    this.#stopping.forEach((each) => each.abort("stopped"));
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
      awaitsEnd = false,
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
    const { signal } = this.#stopping.get(address)!;
    return new Promise((resolve) => {
      // A call ends without an answer when the called instance is replaced.
      const abandon = () => resolve({ status: 0, headers: [] });
      signal.addEventListener("abort", abandon, { once: true });
      const finish = (outcome: CallOutcome) => {
        signal.removeEventListener("abort", abandon);
        resolve(outcome);
      };
      this.#deliver(address, { kind: "caller" }, {
        request: {
          address,
          callId: "",
          method: "POST",
          target,
          headers,
          body: Buffer.from(body),
          maxConnections: 1,
        },
        sink: {
          ...(awaitsEnd ? createWholeSink(finish) : createSink(finish)),
          signal,
        },
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

  #startServer(region: string, version: string): VirtualServer {
    const server: VirtualServer = {
      id: `${region}-server-${this.#startedServerCount++}`,
      region,
      version,
      runningCalls: new Set(),
      hasCrashed: false,
    };
    this.#servers.set(server.id, server);
    this.gateways.forEach((gateway) => this.#register(gateway, server));
    return server;
  }

  #register(
    gateway: HttpGateway,
    { id, region, version }: VirtualServer,
  ): void {
    gateway.registry.put(
      createServerEntry(id, {
        version: toServerVersion(version),
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
    this.#loseCalls(server);
    const { replacedAfterMs } = this.#parts;
    if (replacedAfterMs === undefined) return;
    this.clock.schedule(replacedAfterMs, () => {
      if (!this.#servers.has(server.id)) return;
      this.#unregister([server]);
      this.startServers(server.region, 1, server.version);
    });
  }

  #loseCalls(server: VirtualServer): void {
    server.hasCrashed = true;
    const lostCalls = [...server.runningCalls];
    server.runningCalls.clear();
    lostCalls.forEach((events) =>
      events.onFailure({ kind: "closed", message: "other side closed" })
    );
  }

  #unregister(servers: readonly VirtualServer[]): void {
    const removed = new Set(servers.map(({ id }) => id));
    removed.forEach((id) => this.#servers.delete(id));
    this.gateways.forEach(({ registry, forwarder }) => {
      const kept = registry.servers.map(({ entry }): RegisteredServer => entry)
        .filter(({ id }) => !removed.has(id));
      registry.replaceAll(kept, this.clock.nowMs(), 0);
      forwarder.forgetUnregisteredServers();
    });
    this.gateways.forEach((gateway, address) =>
      this.#parts.onServers?.(address, gateway)
    );
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
        const { callId, lastEventId, prompt } = PROMPT_HEADER_CODEC.readCall(
          request.headers,
        );
        server.runningCalls.add(events);
        const arrival: Arrival = {
          atMs: this.clock.nowMs(),
          server: server.id,
          version: server.version,
          from,
          callId,
          target: request.target,
          body: request.body.toString(),
          lastEventId,
          running: server.runningCalls.size,
          parts: prompt?.parts.slice(0, -1).map(({ id }) => id) ?? [],
        };
        this.arrivals.push(arrival);
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
          case "stream":
            this.clock.schedule(
              action.afterMs,
              ignoreIfEnded(() =>
                this.#stream(server, arrival, events, action)
              ),
            );
            break;
          case "lose":
            this.clock.schedule(
              action.afterMs,
              ignoreIfEnded(() => this.#close(server, arrival, events)),
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

  /** Sends the events of a stream one after the other. */
  #stream(
    server: VirtualServer,
    arrival: Arrival,
    events: SendEvents,
    action: Extract<ServerAction, { kind: "stream" }>,
  ): void {
    events.onHead({
      status: 200,
      statusText: "",
      headers: [
        "X-Call-Id",
        arrival.callId,
        "Content-Type",
        "text/event-stream",
      ],
    });
    const sendNext = (id: number) => {
      if (!server.runningCalls.has(events)) return;
      if (id > action.events) {
        server.runningCalls.delete(events);
        if (this.links.end(arrival.from, server.id, events)) events.onEnd([]);
        return;
      }
      const silentMs = (this.#parts.readSilentUntilMs?.(server.id) ?? 0) -
        this.clock.nowMs();
      if (silentMs > 0) {
        this.clock.schedule(silentMs, () => sendNext(id));
        return;
      }
      events.onData(Buffer.from(`id: ${id}\ndata: ${server.version}\n\n`));
      if (id === action.cutAfter) this.#close(server, arrival, events);
      else this.clock.schedule(action.gapMs, () => sendNext(id + 1));
    };
    sendNext(Number(arrival.lastEventId ?? 0) + 1);
  }

  /** Closes the connection of a call. */
  #close(server: VirtualServer, { from }: Arrival, events: SendEvents): void {
    server.runningCalls.delete(events);
    this.links.abort(from, events);
    events.onFailure({ kind: "closed", message: "other side closed" });
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
          write: (bytes) => {
            events.onData(Buffer.from(bytes));
            return true;
          },
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
        if (this.#parts.isCut?.(from, to) || !this.gateways.has(from)) return;
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

/** Returns a sink that passes on the whole answer, with status 0 if it is broken off. */
function createWholeSink(resolve: (outcome: CallOutcome) => void): CallSink {
  let head: AnswerHead = { status: 0, statusText: "", headers: [] };
  let body = "";
  return {
    ...createHeadSink((begun) => void (head = begun)),
    write: (bytes) => {
      body += bytes.toString();
      return true;
    },
    end: () => resolve({ status: head.status, headers: head.headers, body }),
    abort: () => resolve({ status: 0, headers: head.headers, body }),
  };
}

/** Returns a sink that passes on the head of an answer, with status 0 if the answer is broken off. */
function createSink(begin: (head: AnswerHead) => void): CallSink {
  return {
    ...createHeadSink(begin),
    abort: () => begin({ status: 0, statusText: "", headers: [] }),
  };
}
