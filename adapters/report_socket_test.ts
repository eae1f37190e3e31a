import assert from "node:assert/strict";
import { randomBytes } from "node:crypto";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { afterEach, describe, it } from "node:test";
import type { FleetReport } from "../fleet/mod.ts";
import {
  toBackendId,
  toFailureDomainId,
  toInstanceId,
  toRegionId,
} from "../ids/mod.ts";
import { createRecordingLogger } from "../tests/recording_logger.ts";
import { createReport } from "../tests/report_fixture.ts";
import { ReportSocket } from "./report_socket.ts";

const HOST = "127.0.0.1";
/** Loads of as many servers take 110 KB as text. */
const MANY_SERVERS = 2_700;
/** Keys of as many parts do not fit into a datagram even if they are compressed. */
const MANY_PARTS = 1_800;

const CLEAN_UPS: (() => void)[] = [];
afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

async function pickPort(): Promise<number> {
  const socket = createSocket("udp4");
  socket.bind(0, HOST);
  await once(socket, "listening");
  const { port } = socket.address();
  socket.close();
  return port;
}

async function openSocket(receive: (report: FleetReport) => void) {
  const { lines, logger } = createRecordingLogger();
  const address = `${HOST}:${await pickPort()}`;
  const socket = new ReportSocket(address, logger);
  await socket.open(receive);
  CLEAN_UPS.push(() => socket.close());
  return { address, lines, socket };
}

/** Sends a report over sockets, and returns what arrives and what is logged. */
async function sendReport(overrides: Partial<FleetReport>) {
  let receive = (_: FleetReport) => {};
  const received = new Promise<FleetReport>((resolve) => (receive = resolve));
  const receiver = await openSocket((report) => receive(report));
  const sender = await openSocket(() => {});
  const from = {
    id: toInstanceId("a"),
    incarnation: "1",
    address: sender.address,
    region: toRegionId("north"),
    failureDomain: toFailureDomainId("north-a"),
    state: "ready",
  } as const;
  sender.socket.send(createReport(from, 1, overrides), [receiver.address]);
  return { report: await received, lines: sender.lines };
}

describe("ReportSocket", () => {
  // Reports that were too large for a datagram were not sent, and nothing was logged.
  it("compresses a report that is too large for a datagram", async () => {
    const loads = Array.from({ length: MANY_SERVERS }, (_, at) => ({
      server: toBackendId(`i-${at.toString(16).padStart(10, "7")}`),
      calls: at,
      pendingTokens: 1_000 * at,
      memoryTokens: 2_000 * at,
    }));
    const { lines, report } = await sendReport({ loads });
    assert.equal(report.loads.length, MANY_SERVERS);
    assert.deepEqual(lines, []);
  });

  it("leaves out prompt parts that do not fit, and logs it", async () => {
    const prefixes = Array.from({ length: MANY_PARTS }, () => ({
      server: toBackendId("s1"),
      part: randomBytes(48).toString("base64url"),
      tokens: 500,
    }));
    const { lines, report } = await sendReport({ prefixes });
    assert.equal(report.from.id, "a");
    assert.deepEqual(report.prefixes, []);
    assert.match(lines.join("\n"), /size of reports changed.*prefixes/);
  });
});
