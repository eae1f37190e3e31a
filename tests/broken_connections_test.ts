import { rmSync } from "node:fs";
import { dirname } from "node:path";
import { after, before, beforeEach, describe, it } from "node:test";
import { buildProgram } from "../standin/build_program.ts";
import { PLATFORM_PORTS } from "../standin/platform_process.ts";
import {
  breakConnection,
  BROKEN_CONNECTIONS,
  listBrokenRequests,
} from "./broken_connection_fixture.ts";
import {
  createSingleInstance,
  type SingleInstance,
} from "./single_instance_fixture.ts";

const PROGRAM = buildProgram();
after(() => rmSync(dirname(PROGRAM), { recursive: true, force: true }));

/** Ports of an instance, with the routes that they answer. */
const LISTENERS: readonly {
  readonly port: keyof typeof PLATFORM_PORTS;
  readonly routes: readonly (readonly [method: string, path: string])[];
}[] = [
  { port: "readiness", routes: [["GET", "/havenspur/readiness"]] },
  {
    port: "directory",
    routes: [["GET", "/havenspur/resolve?name=a&region=north&zone=north-a"]],
  },
  { port: "control", routes: [["POST", "/rpc"], ["GET", "/metrics"]] },
  { port: "callers", routes: [["POST", "/a/x"]] },
  { port: "peers", routes: [["POST", "/a/x"]] },
];

describe("an instance in a process of its own", () => {
  let single: SingleInstance;
  before(async () => {
    single = await createSingleInstance(PROGRAM);
  });
  after(() => single.destroy());
  // A connection that ends the instance must not hide what the others do.
  beforeEach(() => single.ensureStarted());

  for (const { port, routes } of LISTENERS) {
    describe(`when a connection to the ${port} port breaks`, () => {
      const connections = [
        ...BROKEN_CONNECTIONS,
        ...routes.flatMap((route) => listBrokenRequests(...route)),
      ];
      for (const connection of connections) {
        it(`keeps running after ${connection.name}`, async () => {
          const { host } = single.instance;
          await breakConnection(host, PLATFORM_PORTS[port], connection);
          await single.assertRuns();
        });
      }
    });
  }
});
