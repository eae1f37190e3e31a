import { readFileSync } from "node:fs";
import { EtcdStore } from "../adapters/etcd_store.ts";
import { HttpBackendClient } from "../adapters/http_backend_client.ts";
import {
  type Listener,
  startListener,
  type TlsFiles,
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
import { createStatsdMetrics } from "../adapters/statsd_metrics.ts";
import { createSystemRandom, systemClock } from "../adapters/system_clock.ts";
import { Gateway } from "../daemon/mod.ts";
import { type GatewayRequest, type Reply, toRefusal } from "../filters/mod.ts";
import { toFailureDomainId, toInstanceId, toRegionId } from "../ids/mod.ts";
import { createLogger, type Logger } from "../logs/mod.ts";
import type { InstanceRecord } from "../membership/mod.ts";
import { NO_METRICS } from "../metrics/mod.ts";
import type { PeerTransport } from "../peers/mod.ts";
import { createFailure } from "../results/mod.ts";
import type { Settings } from "../settings/mod.ts";
import {
  type RunningHttpGateway,
  startHttpGateway,
} from "./start_http_gateway.ts";

/** Optional parts of a start. */
export interface StartDaemonOptions {
  /** Takes each line of the log. Default: standard output. */
  readonly writeLog?: (line: string) => void;
  /** Ends the daemon at once. Default: never. */
  readonly signal?: AbortSignal;
}

/** A daemon that runs. */
export interface RunningDaemon {
  readonly gateway: Gateway;
  readonly record: InstanceRecord;
  /** The part for plain HTTP calls; `undefined`: they are not taken. */
  readonly http: RunningHttpGateway | undefined;
  readonly peerBytes: { readonly sent: number; readonly received: number };
  /** Reads the certificates of the settings again. */
  reloadTls(): void;
  /** Leaves gracefully: cuts off nothing in flight. */
  leave(): Promise<void>;
  /** Ends at once, as a crash would. */
  kill(): Promise<void>;
}

/**
 * Starts a daemon: the adapters, the listener and the controllers.
 *
 * @param settings Checked settings.
 * @param options Log and signal.
 */
export async function startDaemon(
  settings: Settings,
  options: StartDaemonOptions = {},
): Promise<RunningDaemon> {
  const ended = new AbortController();
  const signal = options.signal === undefined
    ? ended.signal
    : AbortSignal.any([ended.signal, options.signal]);
  const logger = createDaemonLogger(settings, options);
  const metrics = settings.metrics.statsd === undefined
    ? NO_METRICS
    : createStatsdMetrics(settings.metrics.statsd, signal);
  const tls = settings.tls && readTls(settings.tls);
  const serving: { handle: (request: GatewayRequest) => Promise<Reply> } = {
    handle: () => Promise.resolve(createNotReady()),
  };
  const listener = await startListener({
    address: settings.listen.address,
    limits: {
      maxBodyBytes: settings.limits.max_body_bytes,
      maxHeaderBytes: settings.limits.max_header_bytes,
      bodyTimeoutMs: settings.limits.body_timeout_ms,
      idleTimeoutMs: settings.limits.idle_timeout_ms,
    },
    handle: (request) => serving.handle(request),
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
    { logger, metrics },
  );
  await transport.open((heartbeat) => gateway.receiveHeartbeat(heartbeat));
  serving.handle = createHandler(gateway);
  gateway.start(signal);
  logger.info("listening", { address: record.callerUrl });
  const close = async (closeListener: () => Promise<void>) => {
    ended.abort();
    await Promise.all([
      closeListener(),
      transport.close(),
      store.close(),
      backend.close(),
    ]);
  };
  return {
    gateway,
    record,
    http: httpGateway,
    peerBytes: transport.bytes,
    reloadTls: () => reloadTls(settings, listener, logger),
    leave: async () => {
      const patience = new AbortController();
      systemClock.schedule(
        settings.limits.drain_timeout_ms,
        () => patience.abort(),
        signal,
      );
      await Promise.all([
        gateway.leave(patience.signal),
        httpGateway?.leave(settings.limits.drain_timeout_ms),
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
  made: {
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
    store: made.store,
    instances: createHttpInstanceList(settings.platform.instances_url),
    directory: createHttpDirectory(settings.platform.directory_url),
    backend: made.backend,
    peers: made.transport,
    logger: made.logger,
    metrics: made.metrics,
    self: made.record,
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

/** Requests to the path of peers are JSON-RPC; all others go to the filters. */
function createHandler(
  gateway: Gateway,
): (request: GatewayRequest) => Promise<Reply> {
  const answerPeer = createPeerServer((method, params) =>
    gateway.handlePeerCall(method, params)
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

function createNotReady(): Reply {
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

function readTls(files: NonNullable<Settings["tls"]>): TlsFiles {
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
