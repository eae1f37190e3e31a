import { VirtualClock } from "../clock/mod.ts";
import type { HttpGateway } from "../daemon/http_gateway.ts";
import { compressReport, encodeReport } from "../fleet/mod.ts";
import { createVirtualGateway } from "../tests/virtual_gateway.ts";
import { type BenchResult, toCell } from "./bench_case.ts";

const REGIONS = ["north", "south", "west"] as const;
const PER_REGION = [3, 6, 12, 24, 65] as const;
const WARMUP_MS = 5_000;
const RUN_MS = 6_000;

interface ReportTraffic {
  /** Mean bytes per second that one instance sends to its own region. */
  readonly localBytesPerSecond: number;
  /** Bytes per second between regions, of all instances together. */
  readonly remoteBytesPerSecond: number;
}

/**
 * Measures the bytes of reports between instances, by the number of instances.
 * It runs on a virtual clock, so that the figures repeat exactly.
 */
export async function runReportsBench(): Promise<BenchResult> {
  const measured: ReportTraffic[] = [];
  for (const perRegion of PER_REGION) {
    measured.push(await measureReports(perRegion));
  }
  const findTraffic = (perRegion: number) =>
    measured[PER_REGION.findIndex((each) => each === perRegion)]!;
  return {
    head: [
      "INSTANCES PER REGION",
      "OWN REGION B/S EACH",
      "BETWEEN REGIONS B/S",
    ],
    rows: measured.map((
      { localBytesPerSecond, remoteBytesPerSecond },
      index,
    ) => [
      String(PER_REGION[index]),
      toCell(localBytesPerSecond, 0),
      toCell(remoteBytesPerSecond, 0),
    ]),
    figures: {
      near_24: findTraffic(24).localBytesPerSecond,
      near_65: findTraffic(65).localBytesPerSecond,
      far_24: findTraffic(24).remoteBytesPerSecond,
      far_65: findTraffic(65).remoteBytesPerSecond,
      far_growth: findTraffic(24).remoteBytesPerSecond /
        findTraffic(3).remoteBytesPerSecond,
    },
  };
}

async function measureReports(perRegion: number): Promise<ReportTraffic> {
  const clock = new VirtualClock();
  const gateways = new Map<string, HttpGateway>();
  const controllers: AbortController[] = [];
  let localBytes = 0;
  let remoteBytes = 0;
  const addresses = REGIONS.flatMap((region) =>
    Array.from({ length: perRegion }, (_, at) => `${region}-${at}`)
  );
  addresses.forEach((address) => {
    const region = address.split("-")[0]!;
    const gateway = createVirtualGateway(address, {
      clock,
      seedAddresses: ["north-0"],
      sendReport: (report, to, { echoes, isCompressed } = {}) => {
        const encode = isCompressed ? compressReport : encodeReport;
        const { length } = encode(report);
        to.forEach((other, at) => {
          if (other.startsWith(`${region}-`)) localBytes += length;
          else remoteBytes += length;
          const echo = echoes?.[at] ?? 0;
          gateways.get(other)?.receiveReport({ ...report, echo }, address);
        });
      },
    });
    gateways.set(address, gateway);
    const controller = new AbortController();
    controllers.push(controller);
    gateway.start(controller.signal);
  });
  await clock.advance(WARMUP_MS);
  localBytes = 0;
  remoteBytes = 0;
  await clock.advance(RUN_MS);
  controllers.forEach((controller) => controller.abort("measured"));
  const seconds = RUN_MS / 1_000;
  return {
    localBytesPerSecond: localBytes / seconds / addresses.length,
    remoteBytesPerSecond: remoteBytes / seconds,
  };
}
