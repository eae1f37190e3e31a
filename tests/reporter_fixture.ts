import { createRandom, VirtualClock } from "../clock/mod.ts";
import { FleetReporter } from "../daemon/fleet_reporter.ts";
import {
  compressReport,
  encodeReport,
  type FleetReport,
  FleetView,
  LoadBoard,
  type SendReportOptions,
} from "../fleet/mod.ts";
import { toBackendId, toFailureDomainId } from "../ids/mod.ts";
import { CallQuarantine } from "../quarantine/mod.ts";
import { createMember } from "./member_fixture.ts";

/** Time that a report is under way, in milliseconds. */
const WAY_MS = 1;

/** The backend server whose calls the instances count. */
export const COUNTED_SERVER = toBackendId("e1");

/** An instance that tells others of its calls. */
export interface VirtualReporter {
  readonly address: string;
  readonly fleet: FleetView;
  readonly loads: LoadBoard;
  readonly quarantine: CallQuarantine;
  readonly reporter: FleetReporter;
  /** Begins calls, or with a negative number ends some. */
  readonly addCalls: (calls: number) => void;
  /** Ends it: it neither sends nor receives any more. */
  readonly lose: () => void;
  readonly isLost: () => boolean;
}

/** What a fleet of reporters is created from. */
export interface StartReportersOptions {
  readonly regions?: readonly string[];
  readonly perRegion: number;
  /** Failure domains of each region. Default: 2. */
  readonly domains?: number;
}

/** Starts instances at the same time whose reports travel in a millisecond. */
export function startReporters(
  { domains = 2, perRegion, regions = ["north"] }: StartReportersOptions,
) {
  const clock = new VirtualClock();
  const all = new Map<string, VirtualReporter>();
  const counted = { datagrams: 0, bytes: 0, bytesBetweenDomains: 0 };
  /** Whether a report from one address is to get to another. Default: each is. */
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
      if (from.isLost() || other === undefined) return;
      counted.datagrams++;
      counted.bytes += length;
      const { failureDomain } = from.fleet.self;
      if (other.fleet.self.failureDomain !== failureDomain) {
        counted.bytesBetweenDomains += length;
      }
      if (!network.passes(from.address, address)) return;
      clock.schedule(WAY_MS, () => {
        if (other.isLost()) return;
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
    const loads = new LoadBoard();
    const fleet = new FleetView({
      self: {
        ...member,
        failureDomain: toFailureDomainId(`${region}-${index % domains}`),
      },
      loads,
      startMs: clock.nowMs(),
    });
    fleet.setState("ready");
    const end = new AbortController();
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
      sendReport: (...words) => send(all.get(address)!, ...words),
      takePrefixes: () => [],
      learnPrefixes: () => {},
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
      lose: () => end.abort("lost"),
      isLost: () => end.signal.aborted,
    });
    // Instances are not in step: their rounds begin within the first 150 ms.
    clock.schedule((index * 37) % 150, () => reporter.start(end.signal));
  };
  regions.forEach((region) =>
    Array.from({ length: perRegion }, (_, index) => start(region, index))
  );

  const listRunning = () => [...all.values()].filter((one) => !one.isLost());
  return { all, clock, counted, listRunning, network };
}

/** Returns how many calls an instance takes the counted server to have. */
export function countCalls({ loads }: VirtualReporter): number {
  return loads.readTotal(COUNTED_SERVER).calls;
}
