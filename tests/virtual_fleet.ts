import { createRandom, VirtualClock } from "../clock/mod.ts";
import type { HttpGateway } from "../daemon/http_gateway.ts";
import { decodeReport, encodeReport, type SendReport } from "../fleet/mod.ts";
import {
  type AnswerHead,
  type CallOrigin,
  type CallSink,
  OWN_GRAMMAR,
  readHop,
  type SendEvents,
  type SendRequest,
  type ServerClient,
} from "../forwarding/mod.ts";
import type { RouteTable } from "../http_routes/mod.ts";
import { toFailureDomainId, toRegionId } from "../ids/mod.ts";
import { createServerEntry } from "./member_fixture.ts";
import { createHeadSink } from "./opaque_call_fixture.ts";
import { createVirtualGateway } from "./virtual_gateway.ts";

/** Time of a datagram or of a call's way, in milliseconds. */
const WAY_MS = { near: 1, far: 55 } as const;
/** Host of all calls. */
const HOST = "app.example";

/** A send that has arrived at a server. */
export interface Arrival {
  readonly atMs: number;
  /** Id of the server. */
  readonly server: string;
  /** Address of the instance that sent it. */
  readonly from: string;
  readonly callId: string;
  readonly target: string;
  readonly body: string;
}

/** What a server does with a call. */
export type Deed =
  | {
    readonly kind: "answer";
    readonly afterMs: number;
    /** Default: 200. */
    readonly status?: number;
  }
  /** The call runs, and the server with all its calls ends. */
  | { readonly kind: "end"; readonly afterMs: number }
  /** The server says at once that it does not run the call. */
  | { readonly kind: "reject"; readonly headers: readonly string[] };

/** How a call of a caller ended. */
export interface EndedCall {
  readonly status: number;
  readonly headers: readonly string[];
}

/** Sizes and behaviour of a fleet. */
export interface VirtualFleetParts {
  /** Instances and servers of each region. */
  readonly regions: Readonly<
    Record<string, { readonly instances: number; readonly servers: number }>
  >;
  readonly table: RouteTable;
  /** Decides what a server does with a call. */
  readonly decide: (arrival: Arrival) => Deed;
  /** After how long a server that ended is replaced, in milliseconds. Default: never. */
  readonly replacedAfterMs?: number;
  /** Headers of each answer beside its call's id. Default: none. */
  readonly answerHeaders?: (server: string) => readonly string[];
  /** Share of the datagrams that get lost. Default: none. */
  readonly lostShare?: number;
  /** Whether no datagram comes through at present. Default: never. */
  readonly isCut?: () => boolean;
}

interface VirtualServer {
  readonly id: string;
  readonly region: string;
  readonly running: Set<SendEvents>;
  hasEnded: boolean;
}

/**
 * Real gateways that tell each other reports over a virtual network, and call
 * stand-ins of backend servers that may end while they have calls.
 */
export class VirtualFleet {
  readonly clock = new VirtualClock();
  readonly gateways = new Map<string, HttpGateway>();
  /** All sends that reached a server, in order. */
  readonly arrivals: Arrival[] = [];
  /** Bytes of reports that were sent. */
  reportBytes = 0;
  readonly #parts: VirtualFleetParts;
  readonly #random = createRandom(11);
  readonly #servers = new Map<string, VirtualServer>();
  readonly #ended = new AbortController();
  #started = 0;
  #calls = 0;

  /** @param parts Sizes and behaviour. */
  constructor(parts: VirtualFleetParts) {
    this.#parts = parts;
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

  /** Starts an instance, in the place of one that was there under its address. */
  start(address: string): HttpGateway {
    const names = Object.entries(this.#parts.regions)
      .flatMap(([region, { instances }]) =>
        Array.from({ length: instances }, (_, at) => `${region}-${at}`)
      );
    const gateway = createVirtualGateway(address, {
      clock: this.clock,
      random: createRandom(this.gateways.size + 1),
      client: this.#createServerClient(address),
      peerClient: this.#createPeerClient(address),
      sendReport: this.#createSendReport(address),
      seedAddresses: names.slice(0, 3),
      repeatBounds: { ratio: 1, slack: 1_000, windowMs: 10_000 },
    });
    gateway.forwarder.setTable(this.#parts.table);
    this.gateways.set(address, gateway);
    gateway.start(this.#ended.signal);
    this.#servers.forEach((server) => this.#register(gateway, server));
    return gateway;
  }

  /** Ends all instances. */
  stop(): void {
    this.#ended.abort("stopped");
  }

  /**
   * Makes a call at an instance.
   *
   * @param body What it says: a call with the same one is the same call.
   * @param address Which. Default: any.
   * @param target Path. Default: of the route `/a/`.
   */
  call(
    body: string,
    address = this.#pickAddress(),
    target = "/a/x",
  ): Promise<EndedCall> {
    const callId = `c${this.#calls++}`;
    const headers = [
      "Host",
      HOST,
      "X-Call-Id",
      callId,
      "X-Deadline-Ms",
      "2000",
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
      id: `${region}-server-${this.#started++}`,
      region,
      running: new Set(),
      hasEnded: false,
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
        slots: 64,
      }),
      this.clock.nowMs(),
    );
  }

  #endServer(server: VirtualServer): void {
    if (server.hasEnded) return;
    server.hasEnded = true;
    const lost = [...server.running];
    server.running.clear();
    lost.forEach((events) =>
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
        forwarder.forgetGone();
      });
      this.#startServer(server.region);
    });
  }

  #createServerClient(from: string): ServerClient {
    return {
      send: (request, events) => {
        const server = this.#servers.get(request.address);
        if (server === undefined || server.hasEnded) {
          queueMicrotask(() =>
            events.onFailure({ kind: "not-sent", message: "refused" })
          );
          return { resume: () => {}, abort: () => {} };
        }
        const arrival: Arrival = {
          atMs: this.clock.nowMs(),
          server: server.id,
          from,
          callId: OWN_GRAMMAR.readCall(request.headers).callId,
          target: request.target,
          body: request.body.toString(),
        };
        this.arrivals.push(arrival);
        server.running.add(events);
        const finish = (act: () => void) => () => {
          if (server.running.has(events)) act();
        };
        const answer = (status: number, headers: readonly string[]) => {
          server.running.delete(events);
          const own = this.#parts.answerHeaders?.(server.id) ?? [];
          events.onHead({
            status,
            statusText: "",
            headers: ["X-Call-Id", arrival.callId, ...headers, ...own],
          });
          events.onEnd([]);
        };
        const deed = this.#parts.decide(arrival);
        switch (deed.kind) {
          case "answer":
            this.clock.schedule(
              deed.afterMs,
              finish(() => answer(deed.status ?? 200, [])),
            );
            break;
          case "end":
            this.clock.schedule(
              deed.afterMs,
              finish(() => this.#endServer(server)),
            );
            break;
          case "reject":
            this.clock.schedule(
              WAY_MS.near,
              finish(() => answer(503, ["X-Not-Run", "1", ...deed.headers])),
            );
            break;
        }
        return {
          resume: () => {},
          abort: () => void server.running.delete(events),
        };
      },
    };
  }

  #createPeerClient(from: string): ServerClient {
    return {
      send: (request, events) => {
        const hop = readHop(request.headers)!;
        const left = new AbortController();
        const wayMs = this.#readWayMs(from, request.address);
        const sink: CallSink = {
          ...createSink(() => {}),
          signal: left.signal,
          begin: (head) => void events.onHead(head),
          end: (trailers) => events.onEnd(trailers),
          breakOff: () =>
            events.onFailure({ kind: "closed", message: "broken off" }),
        };
        this.clock.schedule(
          wayMs,
          () =>
            this.#deliver(request.address, { kind: "instance", hop }, {
              request,
              sink,
            }),
          left.signal,
        );
        return { resume: () => {}, abort: () => left.abort("given up") };
      },
    };
  }

  #createSendReport(from: string): SendReport {
    return (report, addresses) => {
      const datagram = encodeReport(report);
      addresses.filter((to) => to !== from).forEach((to) => {
        this.reportBytes += datagram.length;
        if (this.#random.nextFloat() < (this.#parts.lostShare ?? 0)) return;
        if (this.#parts.isCut?.()) return;
        this.clock.schedule(
          this.#readWayMs(from, to),
          () =>
            this.gateways.get(to)?.receiveReport(decodeReport(datagram)!, from),
        );
      });
    };
  }

  #readWayMs(from: string, to: string): number {
    return from.split("-")[0] === to.split("-")[0] ? WAY_MS.near : WAY_MS.far;
  }
}

/** A head sink whose broken answers have status 0. */
function createSink(begin: (head: AnswerHead) => void): CallSink {
  return {
    ...createHeadSink(begin),
    breakOff: () => begin({ status: 0, statusText: "", headers: [] }),
  };
}
