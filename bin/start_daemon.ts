import { readFileSync } from "node:fs";
import { EtcdStore } from "../adapters/etcd_store.ts";
import { HttpBackendClient } from "../adapters/http_backend_client.ts";
import {
  type Listener,
  startListener,
  type TlsCertificates,
} from "../adapters/http_listener.ts";
import {
  createHttpDirectory,
  createHttpInstanceList,
} from "../adapters/http_platform.ts";
import {
  createPeerServer,
  PEER_PATH,
  SocketPeerTransport,
} from "../adapters/socket_peer_transport.ts";
import { readProcessLimits } from "../adapters/process_limits.ts";
import { createStatsdMetrics } from "../adapters/statsd_metrics.ts";
import { createSystemRandom, systemClock } from "../adapters/system_clock.ts";
import { CarriedWork } from "../capacity/mod.ts";
import { Gateway } from "../daemon/mod.ts";
import { type GatewayRequest, type Reply, toRefusal } from "../filters/mod.ts";
import { toFailureDomainId, toInstanceId, toRegionId } from "../ids/mod.ts";
import { createLogger, type Logger, type LogLevel } from "../logs/mod.ts";
import type { InstanceRecord } from "../membership/mod.ts";
import { type Metrics, NO_METRICS } from "../metrics/mod.ts";
import type { PeerTransport } from "../peers/mod.ts";
import { createFailure } from "../results/mod.ts";
import type { Settings } from "../settings/mod.ts";
import {
  type RunningHttpGateway,
  startHttpGateway,
} from "./start_http_gateway.ts";

/** Options of `startDaemon`. */
export interface StartDaemonOptions {
  /** Receives each log line. Default: writes to standard output. */
  readonly writeLog?: (line: string, level: LogLevel) => void;
  /** Stops the daemon immediately. Default: never. */
  readonly signal?: AbortSignal;
}

/** A running daemon. */
export interface RunningDaemon {
  readonly gateway: Gateway;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly record: InstanceRecord;
  /** Gateway for plain HTTP calls; `undefined` if the settings have no `http` section. */
  readonly http: RunningHttpGateway | undefined;
  /** Bytes of heartbeats exchanged with peers. */
  readonly heartbeatBytes: { readonly sent: number; readonly received: number };
  /** Reloads the certificates from the files that the settings name. */
  reloadTls(): void;
  /** Shuts down gracefully: waits for calls in flight, at most for the drain timeout. */
  shutDown(): Promise<void>;
  /** Stops immediately, like a crash. */
  kill(): Promise<void>;
}

/**
 * Starts a daemon: its adapters, its listener and its controllers.
 *
 * @param settings Validated settings.
 * @param options Log receiver and stop signal.
 */
export async function startDaemon(
  settings: Settings,
  options: StartDaemonOptions = {},
): Promise<RunningDaemon> {
  const stopped = new AbortController();
  const signal = options.signal === undefined
    ? stopped.signal
    : AbortSignal.any([stopped.signal, options.signal]);
  const logger = createDaemonLogger(settings, options);
  const metrics = settings.metrics.statsd === undefined
    ? NO_METRICS
    : createStatsdMetrics(settings.metrics.statsd, signal);
  const tls = settings.tls && readTls(settings.tls);
  const requestHandler: {
    handle: (request: GatewayRequest) => Promise<Reply>;
  } = {
    handle: () => Promise.resolve(createNotReadyReply()),
  };
  const work = new CarriedWork(readProcessLimits());
  const listener = await startListener({
    work,
    address: settings.listen.address,
    limits: {
      maxBodyBytes: settings.limits.max_body_bytes,
      maxHeaderBytes: settings.limits.max_header_bytes,
      bodyTimeoutMs: settings.limits.body_timeout_ms,
      idleTimeoutMs: settings.limits.idle_timeout_ms,
    },
    logger,
    handle: (request) => requestHandler.handle(request),
    tls,
  });
  const record = createRecord(settings, listener.port);
  const host = record.peerAddress.slice(0, record.peerAddress.lastIndexOf(":"));
  const authorities = settings.tls?.authorities &&
    readFileSync(settings.tls.authorities, "utf8");
  const transport = new SocketPeerTransport({
    host: host.replace(/^\[|\]$/g, ""),
    port: listener.port,
    token: settings.tokens.peer,
    logger,
    metrics,
    authorities,
  });
  const store = new EtcdStore(settings.platform.store_url);
  const backend = new HttpBackendClient(
    authorities === undefined ? {} : { authorities },
  );
  const gateway = createGateway(settings, {
    record,
    transport,
    store,
    backend,
    logger,
    metrics,
  });
  const { http } = settings;
  const httpGateway = http === undefined ? undefined : await startHttpGateway(
    { ...settings, http },
    gateway.configuration,
    { logger, metrics, work },
  );
  await transport.open((heartbeat) => gateway.receiveHeartbeat(heartbeat));
  requestHandler.handle = createHandler(gateway, logger);
  gateway.start(signal);
  logger.info("listening", { address: record.callerUrl });
  const close = async (closeListener: () => Promise<void>) => {
    stopped.abort();
    await Promise.all([
      closeListener(),
      transport.close(),
      store.close(),
      backend.close(),
    ]);
  };
  return {
    gateway,
    logger,
    metrics,
    record,
    http: httpGateway,
    heartbeatBytes: transport.heartbeatBytes,
    reloadTls: () => reloadTls(settings, listener, logger),
    shutDown: async () => {
      const drainTimeout = new AbortController();
      systemClock.schedule(
        settings.limits.drain_timeout_ms,
        () => drainTimeout.abort(),
        signal,
      );
      await Promise.all([
        gateway.leave(drainTimeout.signal),
        httpGateway?.shutDown(settings.limits.drain_timeout_ms),
      ]);
      await close(() => listener.close());
    },
    kill: async () => {
      httpGateway?.kill();
      await close(() => listener.destroy());
    },
  };
}

function createGateway(
  settings: Settings,
  parts: {
    readonly record: InstanceRecord;
    readonly transport: PeerTransport;
    readonly store: EtcdStore;
    readonly backend: HttpBackendClient;
    readonly logger: Logger;
    readonly metrics: typeof NO_METRICS;
  },
): Gateway {
  return new Gateway({
    clock: systemClock,
    random: createSystemRandom(),
    store: parts.store,
    instances: createHttpInstanceList(settings.platform.instances_url),
    directory: createHttpDirectory(settings.platform.directory_url),
    backend: parts.backend,
    peers: parts.transport,
    logger: parts.logger,
    metrics: parts.metrics,
    self: parts.record,
    options: {
      operatorTokenHash: settings.tokens.operator_hash,
      peerToken: settings.tokens.peer,
      storeCallsPerSecond: settings.platform.store_calls_per_second,
      storeRegions: settings.platform.store_regions,
      weightLoadsPerMinute: settings.platform.weight_loads_per_minute,
      journalShards: settings.journal.shards,
      journalRetentionMs: settings.journal.retention_ms,
      journalGatherMs: settings.journal.gather_ms,
    },
  });
}

/** Returns a handler that answers peers by JSON-RPC and passes all other requests to the filters. */
function createHandler(
  gateway: Gateway,
  logger: Logger,
): (request: GatewayRequest) => Promise<Reply> {
  const answerPeer = createPeerServer(
    (method, params) => gateway.handlePeerCall(method, params),
    logger,
  );
  return async (request) => {
    if (request.path !== PEER_PATH) return await gateway.handle(request);
    if (!gateway.isPeerToken(request.headers["authorization"])) {
      return toRefusal(
        createFailure("UNAUTHENTICATED", "Cannot identify the peer"),
      );
    }
    const body = await request.readBody();
    if (body.isErr()) return toRefusal(body.error);
    return {
      kind: "whole",
      status: 200,
      headers: { "content-type": "application/json" },
      body: await answerPeer(body.value.toString("utf8")),
    };
  };
}

function createNotReadyReply(): Reply {
  return toRefusal(createFailure("NOT_READY", "This instance is starting"));
}

function createRecord(settings: Settings, port: number): InstanceRecord {
  const { address } = settings.listen;
  const host = address.slice(0, address.lastIndexOf(":"));
  const scheme = settings.tls === undefined ? "http" : "https";
  return {
    id: toInstanceId(settings.instance.id),
    region: toRegionId(settings.instance.region),
    failureDomain: toFailureDomainId(settings.instance.failure_domain),
    peerAddress: `${host}:${port}`,
    callerUrl: `${scheme}://${host}:${port}`,
    isLeaving: false,
  };
}

function createDaemonLogger(
  settings: Settings,
  options: StartDaemonOptions,
): Logger {
  return createLogger({
    clock: systemClock,
    fields: {
      instance: settings.instance.id,
      region: settings.instance.region,
    },
    level: settings.log.level,
    write: options.writeLog ?? ((line) => process.stdout.write(`${line}\n`)),
  });
}

function readTls(files: NonNullable<Settings["tls"]>): TlsCertificates {
  return {
    cert: readFileSync(files.certificate, "utf8"),
    key: readFileSync(files.key, "utf8"),
  };
}

function reloadTls(
  settings: Settings,
  listener: Listener,
  logger: Logger,
): void {
  if (settings.tls === undefined) return;
  try {
    listener.setTls(readTls(settings.tls));
    logger.info("certificates reloaded");
  } catch (error) {
    logger.error("certificates not reloaded", {
      reason: (error as Error).message,
    });
  }
}
