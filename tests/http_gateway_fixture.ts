import { CallListener } from "../adapters/call_listener.ts";
import { ConnectionPool } from "../adapters/connection_pool.ts";
import { probeConnection } from "../adapters/probe_connection.ts";
import { systemClock } from "../adapters/system_clock.ts";
import { createRandom } from "../clock/mod.ts";
import { HttpGateway } from "../daemon/http_gateway.ts";
import { readHop } from "../forwarding/mod.ts";
import { toFailureDomainId, toInstanceId, toRegionId } from "../ids/mod.ts";
import { createSilentLogger, type Logger } from "../logs/mod.ts";
import { NO_METRICS } from "../metrics/mod.ts";
import {
  createDocumentDecoder,
  PLATFORM_HEADER_CODEC,
} from "../platform/mod.ts";
import { toLoopbackAddress } from "../standin/loopback_address.ts";
import { MemoryStore } from "../standin/mod.ts";
import { StateFollower } from "../state/mod.ts";
import { CLEAN_UPS } from "./clean_ups.ts";
import { openRawCaller } from "./raw_http.ts";
import { createFullCopy } from "./state_fixture.ts";

/** Route of a test configuration; members that are left out have defaults. */
export interface RouteFixture {
  readonly prefix: string;
  readonly kind?: "safe" | "unsafe" | "streaming";
  readonly timeoutMs?: number;
  /** Response-time objective, in milliseconds. Default: 2,000. */
  readonly targetMs?: number;
  readonly maxAttempts?: number;
  readonly resumable?: boolean;
  readonly service?: string;
  readonly homeRegions?: readonly string[];
  readonly public?: boolean;
  readonly priority?: number;
}

/** Team of a test configuration, with the member names of the platform's documents. */
export interface TeamFixture {
  readonly name: string;
  readonly apiKeys: readonly string[];
  readonly priority?: number;
  readonly unit?: "tokens" | "requests";
  readonly plainTokens?: number;
  readonly requestsPerS?: number;
  readonly burst?: number;
  readonly homeRegions?: readonly string[];
}

/** Parts that a test gateway is started with. */
export interface GatewayFixtureParts {
  readonly routes: readonly RouteFixture[];
  /** Address of each server by id. */
  readonly servers: Readonly<Record<string, string>>;
  /** Region of a server. Default: `north` for all. */
  readonly serverRegions?: Readonly<Record<string, string>>;
  readonly limits?: Readonly<Record<string, number>>;
  /** Set if the servers are model engines. Default: they are plain services. */
  readonly engine?: { readonly slots: number; readonly kvCacheTokens: number };
  /** Slots of each server. Default: 8. */
  readonly slots?: number;
  /** Region of the gateway. Default: `north`. */
  readonly region?: string;
  /** Teams of callers. Default: none, and callers are not authenticated. */
  readonly teams?: readonly TeamFixture[];
  /** Loopback address of the gateway. Default: one that only this process uses. */
  readonly host?: string;
  /** Default: what it gets is dropped. */
  readonly logger?: Logger;
}

/** Gateway that listens on loopback sockets. */
export interface GatewayFixture {
  readonly gateway: HttpGateway;
  readonly host: string;
  readonly port: number;
  readonly peerPort: number;
  readonly pool: ConnectionPool;
  /** Applies a configuration that differs in `parts` from the one at the start. */
  configure(version: number, parts: Partial<GatewayFixtureParts>): void;
  close(): void;
}

/** Host name of all test routes. */
export const TEST_HOST = "app.example";

const REGIONS = new Map([
  [toFailureDomainId("north-a"), toRegionId("north")],
  [toFailureDomainId("south-a"), toRegionId("south")],
]);

/** Starts a gateway that gets its routes and servers from a state copy instead of the store. */
export async function startGateway(
  parts: GatewayFixtureParts,
): Promise<GatewayFixture> {
  const host = parts.host ?? toLoopbackAddress(1);
  const region = parts.region ?? "north";
  const pool = new ConnectionPool();
  const closing = new AbortController();
  const logger = parts.logger ?? createSilentLogger();
  const createListener = (isPeer: boolean) =>
    new CallListener({
      host,
      port: 0,
      logger,
      nowMs: () => systemClock.nowMs(),
      readLoopDelayMs: () => gateway.loopDelay.readMs(),
      readOrigin: (headers) => {
        if (!isPeer) return { kind: "caller" };
        const hop = readHop(headers);
        return hop && { kind: "instance", hop };
      },
      findHeadRefusal: (head) => gateway.forwarder.findHeadRefusal(head),
      handle: (call, sink) => gateway.handle(call, sink),
    });
  const callers = createListener(false);
  const peers = createListener(true);
  const listeners = [callers, peers];
  // An instance reports its peer port to others, so the port is opened before the gateway
  // is created. No call arrives meanwhile, since nobody knows the port yet.
  const peerPort = await peers.open();
  const gateway: HttpGateway = new HttpGateway({
    clock: systemClock,
    random: createRandom(7),
    logger,
    metrics: NO_METRICS,
    headerCodec: PLATFORM_HEADER_CODEC,
    client: pool,
    peerClient: pool,
    probeServer: probeConnection,
    self: {
      id: toInstanceId(`instance-${host}`),
      incarnation: "1",
      address: `${host}:${peerPort}`,
      region: toRegionId(region),
      failureDomain: toFailureDomainId(`${region}-a`),
    },
    seedAddresses: [],
    createState: (sinks) =>
      new StateFollower({
        ...sinks,
        store: new MemoryStore(systemClock),
        decoder: createDocumentDecoder(REGIONS),
        clock: systemClock,
        random: createRandom(7),
        logger,
        prefix: "",
      }),
    retryBounds: { ratio: 0.2, slack: 58, windowMs: 10_000 },
    warmUpBounds: { overshoot: 1.5, slack: 3 },
    sendReport: () => {},
    applyLimits: (limits) =>
      listeners.forEach((listener) => listener.setLimits(limits)),
    applyAddresses: () => {},
  });
  const port = await callers.open();
  const configure: GatewayFixture["configure"] = (version, changed) => {
    gateway.state.applyCopy(createStateCopy(version, { ...parts, ...changed }));
  };
  configure(1, {});
  gateway.loopDelay.start(closing.signal);
  return {
    gateway,
    host,
    port,
    peerPort,
    pool,
    configure,
    close: () => {
      closing.abort("closed");
      listeners.forEach((listener) => listener.destroy());
      pool.close();
    },
  };
}

function createStateCopy(version: number, parts: GatewayFixtureParts) {
  const serviceNames = new Set(
    parts.routes.map(({ service }) => service ?? "app"),
  );
  const configuration = {
    version,
    routes: parts.routes.map(({ targetMs = 2_000, ...route }, index) => ({
      name: `route-${index}`,
      host: TEST_HOST,
      kind: "safe",
      timeoutMs: 5_000,
      targetLatencyMs: targetMs,
      service: "app",
      maxAttempts: 1,
      ...route,
    })),
    ...(parts.teams === undefined ? {} : { tenants: parts.teams }),
    services: [...serviceNames].map((name) => ({
      name,
      maxConnections: 200,
      ...(parts.engine === undefined ? {} : { engine: parts.engine }),
    })),
    limits: {
      maxHeaderBytes: 4_096,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
      ...parts.limits,
    },
  };
  const servers = Object.entries(parts.servers).map(([id, address]) => ({
    key: `servers/${id}`,
    value: {
      service: "app",
      address,
      zone: `${parts.serverRegions?.[id] ?? "north"}-a`,
      version: "v1",
      slots: parts.slots ?? 8,
      state: "ready",
      warmupRemainingMs: 0,
      sequence: 1,
    },
  }));
  const documents = [
    { key: "op/config", value: configuration },
    ...servers,
  ];
  const entries = documents.map(({ key, value }) => ({
    key,
    value: JSON.stringify(value),
    revision: version,
  }));
  return createFullCopy(version, entries);
}

/** Returns the bytes of a signed answer, as a healthy backend server sends it. */
export function createAnswer(
  callId: string,
  body: string,
  headers: readonly string[] = [],
): string {
  return [
    "HTTP/1.1 200 OK",
    `X-Havenspur-Attempt-Id: ${callId}`,
    "X-Havenspur-Response-Signature: sig",
    ...headers,
    `Content-Length: ${body.length}`,
    "",
    body,
  ].join("\r\n");
}

/** Returns the bytes of a caller's request; a body gets a length unless a header frames it. */
export function createRequest(
  path: string,
  options: {
    readonly method?: string;
    readonly callId?: string;
    readonly headers?: readonly string[];
    readonly body?: string;
  } = {},
): string {
  const body = options.body ?? "";
  const hasFramingHeader = options.headers?.some((line) =>
    /^(content-length|transfer-encoding):/i.test(line)
  );
  return [
    `${options.method ?? "GET"} ${path} HTTP/1.1`,
    `Host: ${TEST_HOST}`,
    `X-Havenspur-Attempt-Id: ${options.callId ?? "c1"}`,
    ...(options.headers ?? []),
    ...(body !== "" && !hasFramingHeader
      ? [`Content-Length: ${body.length}`]
      : []),
    "",
    body,
  ].join("\r\n");
}

/**
 * Returns the bytes of a refusal that says that its call has not run.
 *
 * @param status Status and its text.
 * @param callId Id of the call; `undefined`: the refusal names none.
 * @param headers Further lines of the head. Default: none.
 */
export function createRefusal(
  status: string,
  callId: string | undefined,
  headers: readonly string[] = [],
): string {
  return [
    `HTTP/1.1 ${status}`,
    ...(callId === undefined ? [] : [`X-Havenspur-Attempt-Id: ${callId}`]),
    "X-Havenspur-Not-Executed: 1",
    ...headers,
    "Content-Length: 0",
    "\r\n",
  ].join("\r\n");
}

/** Sends one call with a body over a connection of its own, and returns all bytes of its answer. */
export async function postCall(
  port: number,
  { callId = "c1", headers = [] }: {
    readonly callId?: string;
    readonly headers?: readonly string[];
  } = {},
): Promise<string> {
  const caller = await openRawCaller(port);
  CLEAN_UPS.push(() => caller.socket.destroy());
  caller.socket.write(createRequest("/a/x", {
    method: "POST",
    callId,
    body: "payload",
    headers: ["Connection: close", ...headers],
  }));
  return await caller.awaitEnd();
}
