import { ok } from "neverthrow";
import { createRandom, type Random, VirtualClock } from "../clock/mod.ts";
import type { HttpGateway } from "../daemon/http_gateway.ts";
import { decodeReport, encodeReport, type FleetReport } from "../fleet/mod.ts";
import { toFailureDomainId, toRegionId } from "../ids/mod.ts";
import {
  GATEWAY_HEADER_CODEC,
  readHeader,
  type ServerClient,
} from "../forwarding/mod.ts";
import { createSilentLogger } from "../logs/mod.ts";
import { NO_METRICS } from "../metrics/mod.ts";
import {
  createDocumentDecoder,
  encodeInstance,
  encodeRolloutRecord,
  encodeRolloutStatus,
  toInstanceKey,
  toRolloutOrderKey,
  toRolloutRecordKey,
  toRolloutStatusKey,
} from "../platform/mod.ts";
import type { SendOutcome } from "../rollouts/mod.ts";
import { MemoryStore } from "../standin/memory_store.ts";
import { PlatformOperator } from "../standin/platform_operator.ts";
import { RolloutEntries, StateFollower } from "../state/mod.ts";
import { putKey } from "./follower_fixture.ts";
import { SERVICE } from "./rollout_relay_fixture.ts";
import { createHeadSink, createOpaqueCall } from "./opaque_call_fixture.ts";
import { createVirtualGateway } from "./virtual_gateway.ts";

/** Interval between the calls of one instance, in milliseconds. */
const CALL_INTERVAL_MS = 20;
const CALL_MS = 30;
const SERVERS_PER_REGION = 4;
const ROUTE = {
  name: "all",
  host: "app.example",
  prefix: "/",
  kind: "safe",
  service: SERVICE,
  timeoutMs: 4_000,
} as const;

/** A send that reached a server. */
export interface VersionedArrival {
  readonly atMs: number;
  readonly version: string;
  readonly from: string;
  readonly isFailed: boolean;
}

/** Sizes of a fleet, and how servers respond. */
export interface StartInstancesOptions {
  /** Instances by region. */
  readonly regions: Readonly<Record<string, number>>;
  /** Share of the responses of `v2` that are failures. Default: 0. */
  readonly failedShare?: number;
  /** Regions that may serve the route's calls. Default: all. */
  readonly homeRegions?: readonly string[];
  /** Whether calls are forwarded. Default: no, the tracker alone is asked for a server. */
  readonly forwardsCalls?: boolean;
  /** Whether rollouts are on. Default: yes. */
  readonly hasRollouts?: boolean;
}

/**
 * Starts instances that follow a store and exchange reports. Each instance gets a call every
 * 20 ms.
 */
export async function startInstances(
  {
    failedShare = 0,
    forwardsCalls = false,
    hasRollouts = true,
    homeRegions = [],
    regions,
  }: StartInstancesOptions,
) {
  const clock = new VirtualClock();
  const store = new MemoryStore(clock);
  const operator = new PlatformOperator(store, clock);
  const random = createRandom(5);
  const arrivals: VersionedArrival[] = [];
  const counted = { reportBytes: 0 };
  const reports: FleetReport[] = [];
  /** Names of the instances that were sent evidence on versions. */
  const informed = new Set<string>();
  const instances = new Map<string, ReturnType<typeof startInstance>>();
  const names = Object.entries(regions).flatMap(([region, count]) =>
    Array.from({ length: count }, (_, at) => `${region}-${at}`)
  );
  const toAddress = (name: string) => `10.0.0.${names.indexOf(name) + 1}:1`;
  const toName = (address: string) =>
    names.find((name) => toAddress(name) === address)!;
  const domains = Object.keys(regions).map((region) =>
    [toFailureDomainId(`${region}-a`), toRegionId(region)] as const
  );

  const startInstance = (name: string) => {
    const ended = new AbortController();
    let follower: StateFollower | undefined;
    const readEntry = (key: string) => follower?.readEntry(key);
    const entries = new RolloutEntries({
      store,
      clock,
      logger: createSilentLogger(),
      metrics: NO_METRICS,
      encodeRecord: (record) => ({
        key: toRolloutRecordKey(record.service),
        value: encodeRolloutRecord(record),
      }),
      encodeStatus: (status) => ({
        key: toRolloutStatusKey(status.service),
        value: encodeRolloutStatus(status),
      }),
      readOrderRevision: (service) =>
        readEntry(toRolloutOrderKey(service))?.revision ?? 0,
      readEntry,
      signal: ended.signal,
    });
    const gateway: HttpGateway = createVirtualGateway(name, {
      clock,
      self: {
        ...createVirtualGateway(name).fleet.self,
        incarnation: String(clock.nowMs()),
        address: toAddress(name),
      },
      random: createRandom(names.indexOf(name) + 1),
      seedAddresses: names.map(toAddress),
      headerCodec: GATEWAY_HEADER_CODEC,
      client: createClient(name, random, arrivals, failedShare, clock),
      createState: (sinks) => {
        follower = new StateFollower({
          ...sinks,
          store,
          decoder: createDocumentDecoder(new Map(domains)),
          clock,
          random: createRandom(1),
          logger: createSilentLogger(),
          prefix: "",
        });
        return follower;
      },
      // Instances that are no relays copy what their peers know.
      readPeerState: (address, after) =>
        Promise.resolve(
          ok(
            instances.get(toName(address))!.gateway.state
              .createCopy(after),
          ),
        ),
      ...(hasRollouts
        ? {
          rollouts: {
            bounds: {
              exposureShare: 0.1,
              exposureSlack: 50,
              rollbackMs: 5_000,
              contactMs: 6_000,
            },
            write: (wanted) => void entries.update(wanted),
          },
        }
        : {}),
      sendReport: (report, addresses) => {
        if (ended.signal.aborted) return;
        const datagram = encodeReport(report);
        reports.push(report);
        addresses.forEach((address) => {
          counted.reportBytes += datagram.length;
          const to = toName(address);
          const { rollouts = [] } = report;
          if (rollouts.some(({ evidence }) => evidence.length > 0)) {
            informed.add(to);
          }
          clock.schedule(
            to.split("-")[0] === name.split("-")[0] ? 1 : 55,
            () => instances.get(to)?.receive(datagram, toAddress(name)),
          );
        });
      },
    });
    gateway.start(ended.signal);
    return {
      gateway,
      name,
      crash: () => ended.abort("crashed"),
      hasCrashed: () => ended.signal.aborted,
      receive: (datagram: Buffer, from: string) => {
        if (ended.signal.aborted) return;
        gateway.receiveReport(decodeReport(datagram)!, from);
      },
      send: () =>
        forwardsCalls
          ? forward(gateway, clock)
          : send(gateway, name, random, arrivals, failedShare, clock),
    };
  };

  const registerServers = async (
    version: string,
    isDraining = false,
    serverRegions: readonly string[] = Object.keys(regions),
  ) => {
    for (const region of serverRegions) {
      for (let at = 0; at < SERVERS_PER_REGION; at++) {
        await operator.register({
          id: `${version}-${region}-${at}`,
          service: SERVICE,
          address: "10.0.0.1:80",
          region,
          version,
          slots: 8,
          isDraining,
          startedMs: 1,
        });
      }
    }
  };
  const unregisterServers = async (version: string) => {
    for (const region of Object.keys(regions)) {
      for (let at = 0; at < SERVERS_PER_REGION; at++) {
        await operator.unregister(`${version}-${region}-${at}`);
      }
    }
  };
  await operator.configure(1, [{ ...ROUTE, homeRegions }]);
  await registerServers("v1");
  for (const name of names) {
    const value = encodeInstance(
      toAddress(name),
      toRegionId(name.split("-")[0]!),
    );
    await putKey(store, toInstanceKey(name), value);
    instances.set(name, startInstance(name));
  }
  /** Lets time pass, during which each instance sends calls. */
  const run = async (ms: number) => {
    for (let ranMs = 0; ranMs < ms; ranMs += CALL_INTERVAL_MS) {
      instances.forEach((each) => each.hasCrashed() || each.send());
      await clock.advance(CALL_INTERVAL_MS);
    }
  };
  const end = () => instances.forEach(({ crash }) => crash());
  return {
    arrivals,
    clock,
    counted,
    end,
    informed,
    instances,
    operator,
    registerServers,
    reports,
    restart: (name: string) => instances.set(name, startInstance(name)),
    run,
    store,
    unregisterServers,
  };
}

/** Returns a client whose servers answer after a time; it knows their versions by their names. */
function createClient(
  from: string,
  random: Random,
  arrivals: VersionedArrival[],
  failedShare: number,
  clock: VirtualClock,
): ServerClient {
  return {
    send: ({ headers }, events) => {
      const [version] = readHeader(headers, "x-server-id")!.split("-");
      const isFailed = version === "v2" && random.nextFloat() < failedShare;
      const atMs = clock.nowMs();
      arrivals.push({ atMs, version: version!, from, isFailed });
      const status = isFailed ? 500 : 200;
      clock.schedule(CALL_MS, () => {
        events.onHead({ status, statusText: "", headers: [] });
        events.onEnd([]);
      });
      return { resume: () => {}, abort: () => {} };
    },
  };
}

/** Has an instance serve a call. */
function forward(gateway: HttpGateway, clock: VirtualClock): void {
  const call = createOpaqueCall(clock.nowMs());
  void gateway.handle(call, createHeadSink(() => {}));
}

function send(
  { fleet, registry, rollouts }: HttpGateway,
  from: string,
  random: Random,
  arrivals: VersionedArrival[],
  failedShare: number,
  clock: VirtualClock,
): void {
  const tracker = rollouts?.tracker;
  const { region } = fleet.self;
  const usable = registry.listUsable(SERVICE, region);
  const pick = (isFirstSend: boolean) => {
    const call = { service: SERVICE, region, route: ROUTE.name, isFirstSend };
    const assignment = tracker?.assign(call);
    const allowed = usable.filter(({ coldUntilMs, entry }) =>
      assignment === undefined || tracker!.isAllowed(assignment, {
        id: entry.id,
        service: SERVICE,
        region,
        version: entry.version!,
        isReady: true,
        coldUntilMs,
      })
    );
    return allowed[Math.floor(random.nextFloat() * allowed.length)];
  };
  const entry = (pick(true) ?? pick(false))?.entry;
  if (entry === undefined) return;
  const version = entry.version!;
  const isFailed = version === "v2" && random.nextFloat() < failedShare;
  const outcome: SendOutcome = isFailed
    ? { kind: "failed" }
    : { kind: "answered", firstByteMs: 20 + 10 * random.nextFloat() };
  arrivals.push({ atMs: clock.nowMs(), version, from, isFailed });
  const record = tracker?.beginSend({
    service: SERVICE,
    server: entry.id,
    route: ROUTE.name,
  });
  clock.schedule(CALL_MS, () => record?.end(outcome));
}
