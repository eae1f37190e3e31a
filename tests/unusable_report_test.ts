import { rmSync } from "node:fs";
import { dirname } from "node:path";
import { after, before, beforeEach, describe, it } from "node:test";
import { buildProgram } from "../standin/build_program.ts";
import { PLATFORM_PORTS } from "../standin/platform_process.ts";
import { systemClock } from "../adapters/system_clock.ts";
import { waitFor } from "../clock/mod.ts";
import { sendDatagrams } from "./broken_connection_fixture.ts";
import {
  createSingleInstance,
  type SingleInstance,
} from "./single_instance_fixture.ts";

const PROGRAM = buildProgram();
after(() => rmSync(dirname(PROGRAM), { recursive: true, force: true }));

/** Time within which an instance reports to the members that it has learned of, in milliseconds. */
const REPORT_TIME_MS = 400;

const ADDRESSES = ["", "b", "b:0", "b:x", "b:99999", ":1", "127.0.0.1:-1"];

const DATAGRAMS: readonly (readonly [name: string, bytes: string | Buffer])[] =
  [
    ["empty bytes", Buffer.alloc(0)],
    ["null", "null"],
    ["a number", "1"],
    ["a report without parameters", '{"method":"fleet.report"}'],
    ["a compressed report that breaks off", Buffer.from([1, 0, 0])],
    ["compressed bytes that are none", Buffer.from([1, 0, 0, 0, 0, 255, 7])],
    ...ADDRESSES.flatMap((address, at) =>
      [
        [
          `a report from the address "${address}"`,
          createReport(toMemberRow(`from-${at}`, address), []),
        ],
        [
          `a report that tells of the address "${address}"`,
          createReport(toMemberRow("b", "127.0.0.1:9"), [
            [...toMemberRow(`of-${at}`, address), 5],
          ]),
        ],
      ] as const
    ),
  ];

function toMemberRow(id: string, address: string): readonly unknown[] {
  return [id, "1", address, "north", "north-a", 1];
}

function createReport(
  from: readonly unknown[],
  gossip: readonly unknown[],
): string {
  const params = [from, 1, 0, 0, 0, 0, [], [], gossip, 3];
  return JSON.stringify({ jsonrpc: "2.0", method: "fleet.report", params });
}

describe("an instance in a process of its own", () => {
  let single: SingleInstance;
  before(async () => {
    single = await createSingleInstance(PROGRAM);
  });
  after(() => single.destroy());
  beforeEach(() => single.ensureStarted());

  describe("when a datagram to the peers port is no usable report", () => {
    for (const [name, datagram] of DATAGRAMS) {
      it(`keeps running after ${name}`, async () => {
        const { host } = single.instance;
        await sendDatagrams(host, PLATFORM_PORTS.peers, [datagram]);
        await waitFor(systemClock, REPORT_TIME_MS);
        await single.assertRuns();
      });
    }
  });
});
