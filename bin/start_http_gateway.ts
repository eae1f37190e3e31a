import {
  CallListener,
  type CallListenerParts,
} from "../adapters/call_listener.ts";
import { ConnectionPool } from "../adapters/connection_pool.ts";
import { probeConnection } from "../adapters/probe_connection.ts";
import { ReportSocket } from "../adapters/report_socket.ts";
import { createSystemRandom, systemClock } from "../adapters/system_clock.ts";
import type { CarriedWork } from "../capacity/mod.ts";
import { createToken } from "../clock/mod.ts";
import type { ConfigurationState } from "../configuration/mod.ts";
import { CatalogState, HttpGateway } from "../daemon/mod.ts";
import { GATEWAY_HEADER_CODEC, readHop } from "../forwarding/mod.ts";
import { toFailureDomainId, toInstanceId, toRegionId } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { Settings } from "../settings/mod.ts";

/** Bounds of the retries by all instances together, unless an operator sets other ones. */
const RETRY_BOUNDS = { ratio: 0.2, slack: 50, windowMs: 10_000 };
/** Bounds of the calls to cold servers beyond their rate, unless an operator sets other ones. */
const WARM_UP_BOUNDS = { overshoot: 1.5, slack: 3 };

/** Running gateway for the plain HTTP calls of a daemon. */
export interface RunningHttpGateway {
  /** Base URL for callers. */
  readonly url: string;
  /** Address for other instances. */
  readonly peerAddress: string;
  /** Sets the addresses of a few other instances. */
  setSeeds(addresses: readonly string[]): void;
  /** Shuts down gracefully within `graceMs` milliseconds. */
  shutDown(graceMs: number): Promise<void>;
  /** Stops immediately. */
  kill(): void;
}

/**
 * Starts the gateway of a daemon that forwards plain HTTP calls.
 *
 * @param settings Settings that have the `http` section.
 * @param configuration Configuration in force at the daemon.
 * @param outputs Log, metrics, and the memory for calls.
 */
export async function startHttpGateway(
  settings: Settings & { readonly http: NonNullable<Settings["http"]> },
  configuration: ConfigurationState,
  { logger, metrics, work }: {
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Memory for the calls of all listeners of the daemon. */
    readonly work: CarriedWork;
  },
): Promise<RunningHttpGateway> {
  const { http, instance } = settings;
  const stopped = new AbortController();
  const random = createSystemRandom();
  const nowMs = () => systemClock.nowMs();
  const [callerHost, callerPort] = splitAddress(http.address);
  const [peerHost, configuredPeerPort] = splitAddress(http.peer_address);
  const readLoopDelayMs = () => gateway.loopDelay.readMs();
  const createListener = (
    host: string,
    port: number,
    readOrigin: CallListenerParts["readOrigin"],
  ) =>
    new CallListener({
      host,
      port,
      logger,
      nowMs,
      readLoopDelayMs,
      readOrigin,
      work,
      findHeadRefusal: (head) => gateway.forwarder.findHeadRefusal(head),
      handle: (call, sink) => gateway.handle(call, sink),
    });
  const peerListener = createListener(
    peerHost,
    configuredPeerPort,
    (headers) => {
      const hop = readHop(headers);
      return hop && { kind: "instance", hop };
    },
  );
  // Opened first: if the port in the settings is 0, the operating system chooses one.
  const peerAddress = `${peerHost}:${await peerListener.open()}`;
  const reportSocket = new ReportSocket(peerAddress, logger);
  const callerListener = createListener(
    callerHost,
    callerPort,
    () => ({ kind: "caller" }),
  );
  const gateway: HttpGateway = new HttpGateway({
    clock: systemClock,
    random,
    logger,
    metrics,
    headerCodec: GATEWAY_HEADER_CODEC,
    client: new ConnectionPool({ logger, readLoopDelayMs }),
    peerClient: new ConnectionPool({ logger, readLoopDelayMs }),
    probeServer: probeConnection,
    carriedWork: work,
    self: {
      id: toInstanceId(instance.id),
      incarnation: createToken(random),
      address: peerAddress,
      region: toRegionId(instance.region),
      failureDomain: toFailureDomainId(instance.failure_domain),
    },
    seedAddresses: http.seeds,
    createState: (sinks) => new CatalogState(configuration, sinks, nowMs),
    retryBounds: RETRY_BOUNDS,
    warmUpBounds: WARM_UP_BOUNDS,
    sendReport: (...sent) => reportSocket.send(...sent),
    applyLimits: (limits) =>
      [callerListener, peerListener].forEach((listener) =>
        listener.setLimits(limits)
      ),
    applyAddresses: () => {},
  });
  const port = await callerListener.open();
  await reportSocket.open((report, from) =>
    gateway.receiveReport(report, from)
  );
  gateway.start(stopped.signal);
  const kill = () => {
    stopped.abort("ended");
    callerListener.destroy();
    peerListener.destroy();
    reportSocket.close();
  };
  return {
    url: `http://${callerHost}:${port}`,
    peerAddress,
    setSeeds: (seedAddresses) =>
      gateway.applySettings({ seedAddresses, retryBounds: RETRY_BOUNDS }),
    shutDown: async (graceMs) => {
      const listeners = [callerListener, peerListener];
      listeners.forEach((listener) => listener.startLeaving());
      await gateway.shutDown({
        graceMs,
        countOpenAnswers: () =>
          callerListener.openCount + peerListener.openCount,
        stopListening: () =>
          listeners.forEach((listener) => listener.closeIdle()),
      });
      kill();
    },
    kill,
  };
}

function splitAddress(address: string): readonly [string, number] {
  const at = address.lastIndexOf(":");
  return [address.slice(0, at), Number(address.slice(at + 1))];
}
