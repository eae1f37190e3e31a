// Guards against crashes that are taken for a loss of own links, so that the calls at fault are not known.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../clock/mod.ts";
import { type BackendId, toBackendId, toRegionId } from "../ids/mod.ts";
import { NO_METRICS } from "../metrics/mod.ts";
import { CallQuarantine } from "../quarantine/mod.ts";
import { ServerRegistry } from "../servers/mod.ts";
import { createContent } from "../tests/content_fixture.ts";
import { createServerEntry } from "../tests/member_fixture.ts";
import { createRecordingLogger } from "../tests/recording_logger.ts";
import { CrashConfirmer } from "./crash_confirmer.ts";
import { ServerLinks } from "./server_links.ts";

const NAMES = ["a", "b", "c"];

/** Creates a confirmer in a region with three servers, none of which accepts connections. */
function createConfirmer() {
  const clock = new VirtualClock();
  const registry = new ServerRegistry();
  NAMES.forEach((name) => registry.put(createServerEntry(name), 0));
  const quarantine = new CallQuarantine();
  const accepting = new Set<string>();
  const confirmer = new CrashConfirmer({
    clock,
    ownRegion: toRegionId("north"),
    registry,
    links: new ServerLinks(),
    quarantine,
    probeServer: (address) => Promise.resolve(accepting.has(address)),
    logger: createRecordingLogger(clock).logger,
    metrics: NO_METRICS,
  });
  const confirm = async (name: string) => {
    const confirmed = confirmer.confirm(createServerEntry(name));
    await clock.advance(100);
    return await confirmed;
  };
  const reportCrash = (server: BackendId) =>
    quarantine.mergeReports(
      [{ call: createContent("x").fingerprint, servers: [server], ageMs: 0 }],
      clock.nowMs(),
    );
  return { accepting, confirm, reportCrash };
}

describe("CrashConfirmer", () => {
  it("takes the loss of all servers at once for a loss of links", async () => {
    const { confirm } = createConfirmer();
    assert.ok(!await confirm("a"));
  });

  it("confirms the crash of the last server of a region", async () => {
    const { confirm, reportCrash } = createConfirmer();
    reportCrash(toBackendId("a"));
    assert.ok(!await confirm("c"));
    reportCrash(toBackendId("b"));
    assert.ok(await confirm("c"));
  });

  it("confirms a crash while a server that was reported to have crashed can be reached", async () => {
    const { accepting, confirm, reportCrash } = createConfirmer();
    reportCrash(toBackendId("a"));
    accepting.add("a:1");
    assert.ok(await confirm("c"));
    assert.ok(!await confirm("a"));
  });
});
