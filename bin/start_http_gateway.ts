import { err } from "neverthrow";
import { CallListener } from "../adapters/call_listener.ts";
import { ConnectionPool } from "../adapters/connection_pool.ts";
import { ReportSocket } from "../adapters/report_socket.ts";
import { createSystemRandom, systemClock } from "../adapters/system_clock.ts";
import { createToken } from "../clock/mod.ts";
import type { ConfigurationState } from "../configuration/mod.ts";
import { CatalogState, HttpGateway } from "../daemon/mod.ts";
import { OWN_GRAMMAR, readHop } from "../forwarding/mod.ts";
import { toFailureDomainId, toInstanceId, toRegionId } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { Settings } from "../settings/mod.ts";

/** Repeated sends that all instances together may make, where no operator says it. */
const REPEAT_BOUNDS = { ratio: 0.2, slack: 50, windowMs: 10_000 };

/** A daemon's part for plain HTTP calls. */
export interface RunningHttpGateway {
  /** Base URL for callers. */
  readonly url: string;
  /** Leaves within a time, in milliseconds. */
  leave(graceMs: number): Promise<void>;
  /** Ends at once. */
  kill(): void;
}

/**
 * Starts the part of a daemon that passes plain HTTP calls on.
 *
 * @param settings With the `http` section.
 * @param configuration What is in force at the daemon.
 * @param told Where decisions are told.
 */
export async function startHttpGateway(
  settings: Settings & { readonly http: NonNullable<Settings["http"]> },
  configuration: ConfigurationState,
  { logger, metrics }: {
    readonly logger: Logger;
    readonly metrics: Metrics;
  },
): Promise<RunningHttpGateway> {
  const { http, instance } = settings;
  const ended = new AbortController();
  const random = createSystemRandom();
  const socket = new ReportSocket(http.peer_address);
  const nowMs = () => systemClock.nowMs();
  const gateway = new HttpGateway({
    clock: systemClock,
    random,
    logger,
    metrics,
    grammar: OWN_GRAMMAR,
    client: new ConnectionPool(),
    peerClient: new ConnectionPool(),
    self: {
      id: toInstanceId(instance.id),
      incarnation: createToken(random),
      address: http.peer_address,
      region: toRegionId(instance.region),
      failureDomain: toFailureDomainId(instance.failure_domain),
    },
    seedAddresses: http.seeds,
    createState: (sinks) => new CatalogState(configuration, sinks, nowMs),
    repeatBounds: REPEAT_BOUNDS,
    sendReport: (report, addresses) => socket.send(report, addresses),
    readPeerState: () => Promise.resolve(err("the daemon spreads its own")),
    applyLimits: () => {},
    applyAddresses: () => {},
  });
  const [callerHost, callerPort] = splitAddress(http.address);
  const [peerHost, peerPort] = splitAddress(http.peer_address);
  const callers = new CallListener({
    host: callerHost,
    port: callerPort,
    nowMs,
    readOrigin: () => ({ kind: "caller" }),
    handle: (call, sink) => gateway.handle(call, sink),
  });
  const peers = new CallListener({
    host: peerHost,
    port: peerPort,
    nowMs,
    readOrigin: (headers) => {
      const hop = readHop(headers);
      return hop && { kind: "instance", hop };
    },
    handle: (call, sink) => gateway.handle(call, sink),
  });
  const port = await callers.open();
  await peers.open();
  await socket.open((report, from) => gateway.receiveReport(report, from));
  gateway.start(ended.signal);
  const kill = () => {
    ended.abort("ended");
    callers.destroy();
    peers.destroy();
    socket.close();
  };
  return {
    url: `http://${callerHost}:${port}`,
    leave: async (graceMs) => {
      [callers, peers].forEach((listener) => listener.startLeaving());
      await gateway.leave(
        graceMs,
        () => callers.openCount + peers.openCount,
      );
      kill();
    },
    kill,
  };
}

function splitAddress(address: string): readonly [string, number] {
  const at = address.lastIndexOf(":");
  return [address.slice(0, at), Number(address.slice(at + 1))];
}
