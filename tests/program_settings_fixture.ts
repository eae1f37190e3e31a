import { toLoopbackAddress } from "../standin/loopback_address.ts";
import { formatSettings } from "../standin/platform_process.ts";

/** Returns settings of the platform's program, whose store does not answer. */
export function createPlatformSettings(graceS: number): string {
  return formatSettings({
    name: "a",
    host: toLoopbackAddress(1),
    region: "north",
    regions: ["north"],
    seedHosts: [toLoopbackAddress(1)],
    storeAddress: `${toLoopbackAddress(2)}:1`,
    graceS,
  });
}

/** Returns settings of `havenspurd`, whose platform does not answer. */
export function createDaemonSettings(): string {
  const unreachable = `http://${toLoopbackAddress(2)}:1`;
  return [
    "[instance]",
    'id = "a"',
    'region = "north"',
    'failure_domain = "north-a"',
    "[listen]",
    'address = "127.0.0.1:0"',
    "[platform]",
    `store_url = "${unreachable}"`,
    `instances_url = "${unreachable}"`,
    `directory_url = "${unreachable}"`,
    "[tokens]",
    `operator_hash = "${"0".repeat(64)}"`,
    'peer = "peer-token-of-the-test"',
    "[log]",
    'level = "debug"',
  ].join("\n");
}
