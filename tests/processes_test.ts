import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { systemClock } from "../adapters/system_clock.ts";
import { createCaller, joinStream } from "../bin/check_deployment.ts";
import {
  createAnswer,
  EngineServer,
  hashToken,
  NEW_ENGINE,
  PlatformServer,
} from "../standin/mod.ts";

const BIN = fileURLToPath(new URL("../bin/", import.meta.url));
const OPERATOR = "operator-token-of-the-test";
const CALLER = "caller-token-of-the-test";
const REGIONS = ["north", "east", "west"];

interface DaemonProcess {
  readonly id: string;
  readonly region: string;
  readonly child: ChildProcess;
  readonly url: string;
}

describe("daemons in processes of their own", () => {
  const folder = mkdtempSync(join(tmpdir(), "havenspur-"));
  const platform = new PlatformServer(systemClock);
  const engines = REGIONS.map((region) =>
    new EngineServer({
      clock: systemClock,
      speed: NEW_ENGINE,
      region,
      checksFencing: false,
      port: 0,
    })
  );
  let daemons: DaemonProcess[] = [];

  function createSettings(id: string, region: string): string {
    return [
      "[instance]",
      `id = "${id}"`,
      `region = "${region}"`,
      `failure_domain = "${region}-1"`,
      "[listen]",
      'address = "127.0.0.1:0"',
      "[platform]",
      `store_url = "${platform.url}"`,
      `instances_url = "${platform.url}"`,
      `directory_url = "${platform.url}"`,
      "[tokens]",
      `operator_hash = "${hashToken(OPERATOR)}"`,
      'peer = "peer-token-of-the-test"',
    ].join("\n");
  }

  async function startDaemon(
    region: string,
    number: number,
  ): Promise<DaemonProcess> {
    const id = `${region}-${number}`;
    const file = join(folder, `${id}.toml`);
    writeFileSync(file, createSettings(id, region));
    const child = spawn(process.execPath, [
      join(BIN, "havenspurd.js"),
      "--settings",
      file,
    ]);
    let output = "";
    while (!output.includes('"listening"')) {
      const [chunk] = await once(child.stdout!, "data") as [Buffer];
      output += chunk.toString();
    }
    child.stdout!.resume();
    return { id, region, child, url: /"address":"([^"]+)"/.exec(output)![1]! };
  }

  async function runControl(
    ...args: string[]
  ): Promise<{ code: number; output: string }> {
    const child = spawn(process.execPath, [
      join(BIN, "havenspurctl.js"),
      "--server",
      daemons.map(({ url }) => url).join(),
      "--token",
      OPERATOR,
      ...args,
    ]);
    let output = "";
    child.stdout.on("data", (chunk: Buffer) => (output += chunk.toString()));
    child.stderr.on("data", (chunk: Buffer) => (output += chunk.toString()));
    const [code] = await once(child, "close") as [number];
    return { code, output };
  }

  before(async () => {
    await platform.start();
    await Promise.all(engines.map((engine) => engine.start()));
    daemons = await Promise.all(
      REGIONS.flatMap((region) =>
        [1, 2, 3].map((number) => startDaemon(region, number))
      ),
    );
    platform.setInstances(daemons.map(({ id, region, url }) => ({
      id,
      region,
      failure_domain: `${region}-1`,
      peer_address: url.replace("http://", ""),
      caller_url: url,
      state: "live",
    })));
    await new Promise((resolve) => setTimeout(resolve, 1_500));
  });

  after(async () => {
    daemons.forEach(({ child }) => child.kill("SIGKILL"));
    await platform.crash();
    await Promise.all(engines.map((engine) => engine.crash()));
    rmSync(folder, { recursive: true });
  });

  it("apply resources from the command line in every region", async () => {
    const file = join(folder, "resources.toml");
    const formatResource = (
      kind: string,
      name: string,
      lines: readonly string[],
    ) => [
      "[[resource]]",
      `kind = "${kind}"`,
      `name = "${name}"`,
      "[resource.spec]",
      ...lines,
    ];
    writeFileSync(
      file,
      [
        ...formatResource("model", "m", []),
        ...formatResource("service", "chat", ['model = "m"']),
        ...formatResource("team", "t", [
          `tokenHashes = ["${hashToken(CALLER)}"]`,
          "requestsPerSecond = 10000",
        ]),
        ...REGIONS.flatMap((region, index) =>
          formatResource("engine", `e-${region}`, [
            'service = "chat"',
            `region = "${region}"`,
            'failureDomain = "fd"',
            `url = "${engines[index]!.url}"`,
          ])
        ),
      ].join("\n"),
    );
    const wrong = await runControl("apply", "-f", join(folder, "missing.toml"));
    assert.equal(wrong.code, 2);
    assert.equal((await runControl("diff", "-f", file)).code, 6);
    const applied = await runControl("apply", "-f", file, "--wait", "20000");
    assert.equal(applied.code, 0, applied.output);
    assert.match(applied.output, /everywhere/);
    assert.equal((await runControl("diff", "-f", file)).code, 0);
    assert.match((await runControl("audit")).output, /engine\/e-north/);
  });

  it("complete all calls on SIGTERM under load, and exit with 0", async () => {
    const leaving = daemons[0]!;
    const call = createCaller(CALLER);
    const questions = Array.from({ length: 12 }, (_, index) => ({
      model: "m",
      stream: true,
      max_tokens: 60,
      messages: [{ role: "user", content: `question ${index}` }],
    }));
    const answers = questions.map((question) =>
      call(leaving.url, "POST", "/v1/chat/completions", question)
    );
    await new Promise((resolve) => setTimeout(resolve, 300));
    const ended = once(leaving.child, "exit");
    leaving.child.kill("SIGTERM");
    const texts = (await Promise.all(answers)).map(({ text }) =>
      joinStream(text)
    );
    assert.deepEqual(
      texts,
      questions.map((question) => createAnswer(question)),
    );
    assert.deepEqual(await ended, [0, null]);
  });

  it("go on answering callers in full when another daemon is killed", async () => {
    const killed = daemons[4]!;
    killed.child.kill("SIGKILL");
    const call = createCaller(CALLER);
    const question = {
      model: "m",
      stream: true,
      max_tokens: 5,
      messages: [{ role: "user", content: "after" }],
    };
    const answers = await Promise.all(
      [3, 5, 6, 7, 8].map((index) =>
        call(daemons[index]!.url, "POST", "/v1/chat/completions", question)
      ),
    );
    answers.forEach(({ text }) =>
      assert.equal(joinStream(text), createAnswer(question))
    );
  });

  it("print wrong settings with their key and line, and exit with 2", async () => {
    const file = join(folder, "wrong.toml");
    const text = createSettings("x", "north")
      .replace(
        'peer = "peer-token-of-the-test"',
        'peer = "short"\nunknown = 1',
      );
    writeFileSync(file, text);
    const child = spawn(process.execPath, [
      join(BIN, "havenspurd.js"),
      "--settings",
      file,
      "--check-settings",
    ]);
    let output = "";
    child.stderr.on("data", (chunk: Buffer) => (output += chunk.toString()));
    const [code] = await once(child, "close") as [number];
    assert.equal(code, 2);
    assert.match(output, /wrong\.toml:13: .*"tokens\.peer".*got "short"/);
    assert.match(
      output,
      /wrong\.toml:14: .*"tokens\.unknown" is not a known key/,
    );
  });
});
