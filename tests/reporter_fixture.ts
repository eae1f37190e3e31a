import type { MemberCapacity } from "../capacity/mod.ts";
import { createRandom, VirtualClock } from "../clock/mod.ts";
import { FleetReporter } from "../daemon/fleet_reporter.ts";
import {
  compressReport,
  encodeReport,
  type FleetReport,
  FleetView,
  LoadTracker,
  type SendReportOptions,
} from "../fleet/mod.ts";
import { toBackendId, toFailureDomainId } from "../ids/mod.ts";
import { CallQuarantine } from "../quarantine/mod.ts";
import { createMember } from "./member_fixture.ts";

/** Network delay of a report, in milliseconds. */
const DELAY_MS = 1;

/** The backend server whose calls in flight the instances count. */
export const COUNTED_SERVER = toBackendId("e1");

/** An instance that reports its calls in flight to others. */
export interface VirtualReporter {
  readonly address: string;
  readonly fleet: FleetView;
  readonly loads: LoadTracker;
  readonly quarantine: CallQuarantine;
  readonly reporter: FleetReporter;
  /** Begins calls, or completes calls if the number is negative. */
  readonly addCalls: (calls: number) => void;
  /** Crashes the instance: it neither sends nor receives any more. */
  readonly crash: () => void;
  readonly hasCrashed: () => boolean;
}

/** Sizes of a fleet of reporters. */
export interface StartReportersOptions {
  readonly regions?: readonly string[];
  /** Instances of each region. */
  readonly perRegion: number;
  /** Failure domains of each region. Default: 2. */
  readonly domains?: number;
  /**
   * Returns the capacity of each instance; `undefined`: it reports none, and ranks like
   * instances of an earlier version. Default: all are such.
   */
  readonly findCapacity?: (index: number) => MemberCapacity | undefined;
}

/** Starts a fleet of instances that exchange reports over a network with a delay of one millisecond. */
export function startReporters(
  {
    domains = 2,
    findCapacity = () => undefined,
    perRegion,
    regions = ["north"],
  }: StartReportersOptions,
) {
  const clock = new VirtualClock();
  const all = new Map<string, VirtualReporter>();
  const counted = { datagrams: 0, bytes: 0, bytesBetweenDomains: 0 };
  /** Decides whether a report from one address reaches another. Default: always. */
  const network = { passes: (_from: string, _to: string) => true };

  const send = (
    from: VirtualReporter,
    report: FleetReport,
    to: readonly string[],
    { echoes = [], isCompressed = false }: SendReportOptions = {},
  ) => {
    const encode = isCompressed ? compressReport : encodeReport;
    const { length } = encode(report);
    to.forEach((address, at) => {
      const other = all.get(address);
      if (from.hasCrashed() || other === undefined) return;
      counted.datagrams++;
      counted.bytes += length;
      const { failureDomain } = from.fleet.self;
      if (other.fleet.self.failureDomain !== failureDomain) {
        counted.bytesBetweenDomains += length;
      }
      if (!network.passes(from.address, address)) return;
      clock.schedule(DELAY_MS, () => {
        if (other.hasCrashed()) return;
        other.reporter.receive(
          { ...report, echo: echoes[at] ?? 0 },
          from.address,
        );
      });
    });
  };

  const start = (region: string, index: number) => {
    const member = createMember(
      `${region}-${String(index).padStart(3, "0")}`,
      region,
    );
    const { address } = member;
    const loads = new LoadTracker();
    const fleet = new FleetView({
      self: {
        ...member,
        failureDomain: toFailureDomainId(`${region}-${index % domains}`),
      },
      loads,
      startMs: clock.nowMs(),
    });
    fleet.setState("ready");
    fleet.setCapacity(findCapacity(index));
    const crashed = new AbortController();
    const quarantine = new CallQuarantine();
    const reporter = new FleetReporter({
      clock,
      random: createRandom(index),
      fleet,
      loads,
      state: {
        known: {
          configurationVersion: 1,
          store: { era: 0, revision: 1 },
          isStoreLost: false,
        },
        instanceAddresses: [],
      },
      seedAddresses: regions.map((name) => `${name}-000:1`),
      sendReport: (...args) => send(all.get(address)!, ...args),
      takeUnreportedPrefixes: () => [],
      recordPrefixes: () => {},
      quarantine,
      onRound: () => fleet.sweep(clock.nowMs()),
      onNewState: () => {},
    });
    all.set(address, {
      address,
      fleet,
      loads,
      quarantine,
      reporter,
      addCalls: (calls) =>
        loads.addOwn(COUNTED_SERVER, {
          calls,
          pendingTokens: 100 * calls,
          memoryTokens: 1_000 * calls,
        }),
      crash: () => crashed.abort("crashed"),
      hasCrashed: () => crashed.signal.aborted,
    });
    // Spreads the rounds of the instances over the first 150 ms.
    clock.schedule((index * 37) % 150, () => reporter.start(crashed.signal));
  };
  regions.forEach((region) =>
    Array.from({ length: perRegion }, (_, index) => start(region, index))
  );

  const listRunning = () =>
    [...all.values()].filter((one) => !one.hasCrashed());
  return { all, clock, counted, listRunning, network };
}

/** Returns how many calls an instance believes the counted server to have in flight. */
export function countCalls({ loads }: VirtualReporter): number {
  return loads.readTotal(COUNTED_SERVER).calls;
}
