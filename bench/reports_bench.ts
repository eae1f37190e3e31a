import { VirtualClock } from "../clock/mod.ts";
import type { HttpGateway } from "../daemon/http_gateway.ts";
import { compressReport, encodeReport } from "../fleet/mod.ts";
import { createVirtualGateway } from "../tests/virtual_gateway.ts";
import { type BenchResult, toCell } from "./bench_case.ts";

const REGIONS = ["north", "south", "west"] as const;
const PER_REGION = [3, 6, 12, 24, 65] as const;
const WARM_MS = 5_000;
const RUN_MS = 6_000;

interface Measured {
  /** Bytes that one instance sends to its region, on average, a second. */
  readonly nearPerSecond: number;
  /** Bytes between regions, of all instances together, a second. */
  readonly farPerSecond: number;
}

/** Measures what instances tell each other, by their number: repeats exactly. */
export async function runReportsBench(): Promise<BenchResult> {
  const measured: Measured[] = [];
  for (const perRegion of PER_REGION) {
    measured.push(await measureReports(perRegion));
  }
  const at = (perRegion: number) =>
    measured[PER_REGION.findIndex((each) => each === perRegion)]!;
  return {
    head: ["INSTANCES A REGION", "OWN REGION B/S EACH", "BETWEEN REGIONS B/S"],
    rows: measured.map(({ nearPerSecond, farPerSecond }, at) => [
      String(PER_REGION[at]),
      toCell(nearPerSecond, 0),
      toCell(farPerSecond, 0),
    ]),
    figures: {
      near_24: at(24).nearPerSecond,
      near_65: at(65).nearPerSecond,
      far_24: at(24).farPerSecond,
      far_65: at(65).farPerSecond,
      far_growth: at(24).farPerSecond / at(3).farPerSecond,
    },
  };
}

async function measureReports(perRegion: number): Promise<Measured> {
  const clock = new VirtualClock();
  const gateways = new Map<string, HttpGateway>();
  const ends: AbortController[] = [];
  let nearBytes = 0;
  let farBytes = 0;
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
          if (other.startsWith(`${region}-`)) nearBytes += length;
          else farBytes += length;
          const echo = echoes?.[at] ?? 0;
          gateways.get(other)?.receiveReport({ ...report, echo }, address);
        });
      },
    });
    gateways.set(address, gateway);
    const end = new AbortController();
    ends.push(end);
    gateway.start(end.signal);
  });
  await clock.advance(WARM_MS);
  nearBytes = 0;
  farBytes = 0;
  await clock.advance(RUN_MS);
  ends.forEach((end) => end.abort("measured"));
  const seconds = RUN_MS / 1_000;
  return {
    nearPerSecond: nearBytes / seconds / addresses.length,
    farPerSecond: farBytes / seconds,
  };
}
