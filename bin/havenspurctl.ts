#!/usr/bin/env node
import { Command } from "commander";
import { readFileSync } from "node:fs";
import { isDeepStrictEqual } from "node:util";
import { err, ok, type Result } from "neverthrow";
import { explainCall } from "../logs/mod.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import { formatTable } from "./format_table.ts";
import { OperatorClient, type OperatorFailure } from "./operator_client.ts";
import { type DeclaredResource, readResourceFile } from "./start_deployment.ts";

interface GlobalOptions {
  readonly server: string;
  readonly token: string;
  readonly output: string;
}

interface ResourceItem {
  readonly kind: string;
  readonly name: string;
  readonly version: number;
  readonly spec: Readonly<Record<string, unknown>>;
  readonly status: Readonly<Record<string, unknown>>;
}

interface RegionStatus {
  readonly region: string;
  readonly in_force: number;
  readonly newest: number;
  readonly live: number;
  readonly age_ms: number;
}

interface StatusAnswer {
  readonly instance: string;
  readonly sequence: number;
  readonly store_reachable: boolean;
  readonly regions: readonly RegionStatus[];
  readonly silent_regions: readonly string[];
  readonly members: readonly Readonly<Record<string, unknown>>[];
  readonly engines: readonly Readonly<Record<string, unknown>>[];
  readonly in_flight: number;
}

interface AuditEntry {
  readonly sequence: number;
  readonly acceptedMs: number;
  readonly operator: string;
  readonly instance: string;
  readonly changes: readonly {
    readonly kind: string;
    readonly name: string;
    spec: unknown;
  }[];
}

type Outcome = Result<unknown, OperatorFailure>;

const WAIT_INTERVAL_MS = 200;
/** File descriptor of standard input. */
const STANDARD_INPUT = 0;
const KINDS =
  "service, plain-service, model, adapter, version, residency, placement, team, " +
  "engine, plain-server, http-route";

const program = new Command("havenspurctl")
  .description("Declares resources of havenspur, and shows what is in force.")
  .version("0.1.0")
  .option(
    "-s, --server <urls>",
    "base URLs of daemons, separated by commas",
    readDefaultServer(),
  )
  .option(
    "-t, --token <token>",
    "operator token",
    process.env.HAVENSPUR_TOKEN ?? "",
  )
  .option("-o, --output <format>", "table or json", "table")
  .showHelpAfterError()
  .addHelpText(
    "after",
    `
Environment: HAVENSPUR_SERVER, HAVENSPUR_TOKEN
Kinds: ${KINDS}

Examples:
  havenspurctl apply -f resources.toml --wait
  havenspurctl get engine
  havenspurctl describe service barista-lm
  havenspurctl diff -f resources.toml
  havenspurctl status
  havenspurctl drain engine recife-a-e1

Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable, 4 conflict,
  5 not in force everywhere yet, 6 differs (diff)`,
  );

program.command("apply")
  .description(
    "Declares the resources of a file; all come into force together, or none.",
  )
  .requiredOption("-f, --file <file>", "TOML file with [[resource]] tables")
  .option("--dry-run", "only check them", false)
  .option("--wait [ms]", "wait until every region reports them in force")
  .action(createAction(async (client, options) => {
    const resources = readDeclaredResources(String(options.file));
    if (resources.isErr()) return err(resources.error);
    const query = options.dryRun === true ? "?dry-run=true" : "";
    const applied = await client.call<{ readonly sequence: number }>(
      "POST",
      `/api/v1/changes${query}`,
      { changes: resources.value },
    );
    if (applied.isErr() || options.wait === undefined) return applied;
    const waitMs = options.wait === true ? 10_000 : Number(options.wait);
    return await waitUntilInForce(client, applied.value.sequence, waitMs);
  }));

program.command("get")
  .description("Lists the resources of a kind, or shows one.")
  .argument("<kind>")
  .argument("[name]")
  .action(createAction(async (client, _options, kind, name) => {
    const found = await readItems(client, kind!, name);
    return found.map((items) =>
      createTableOutput(
        items,
        ["NAME", "VERSION", "SPEC", "STATUS"],
        (item) => [
          item.name,
          String(item.version),
          formatFields(item.spec),
          formatFields(item.status),
        ],
      )
    );
  }));

program.command("describe")
  .description("Shows one resource in full.")
  .argument("<kind>")
  .argument("<name>")
  .action(
    createAction((client, _options, kind, name) =>
      client.call("GET", `/api/v1/resources/${kind}/${name}`)
    ),
  );

program.command("delete")
  .description("Removes a resource.")
  .argument("<kind>")
  .argument("<name>")
  .option("--if-version <version>", "only if this version is in force")
  .action(createAction((client, options, kind, name) => {
    const query = options.ifVersion === undefined
      ? ""
      : `?version=${options.ifVersion}`;
    return client.call("DELETE", `/api/v1/resources/${kind}/${name}${query}`);
  }));

program.command("diff")
  .description("Shows what applying a file would change.")
  .requiredOption("-f, --file <file>", "TOML file with [[resource]] tables")
  .action(createAction(async (client, options) => {
    const resources = readDeclaredResources(String(options.file));
    if (resources.isErr()) return err(resources.error);
    const checked = await client.call<
      { readonly changes: readonly DeclaredResource[] }
    >(
      "POST",
      "/api/v1/changes?dry-run=true",
      { changes: resources.value },
    );
    if (checked.isErr()) return err(checked.error);
    const rows: { readonly resource: string; readonly change: string }[] = [];
    for (const wanted of checked.value.changes) {
      const current = await readItems(client, wanted.kind, wanted.name);
      const before = current.isOk() ? current.value[0]?.spec : undefined;
      const change = describeChange(before, wanted.spec);
      if (change !== undefined) {
        rows.push({ resource: `${wanted.kind}/${wanted.name}`, change });
      }
    }
    if (rows.length > 0) process.exitCode = EXIT_CODES.DIFFERS;
    return ok(
      createTableOutput(
        rows,
        ["RESOURCE", "CHANGE"],
        (row) => [row.resource, row.change],
      ),
    );
  }));

program.command("watch")
  .description("Shows changes as they come into force.")
  .option("--after <sequence>", "start after this change", "0")
  .action(createAction(async (client, options) => {
    await client.follow(
      `/api/v1/watch?after=${options.after}`,
      (data) => console.log(data),
    );
    return ok(undefined);
  }));

program.command("status")
  .description("Shows what is in force in which region, what is not, and why.")
  .action(createAction(async (client) => {
    const status = await client.call<StatusAnswer>("GET", "/api/v1/status");
    return status.map((answer) => ({
      toJson: answer,
      toText: formatStatus(answer),
    }));
  }));

program.command("audit")
  .description("Shows who changed what, and when.")
  .option("--after <sequence>", "start after this change", "0")
  .action(createAction(async (client, options) => {
    const audit = await client.call<{
      readonly items: readonly AuditEntry[];
      readonly is_complete: boolean;
    }>("GET", `/api/v1/audit?after=${options.after}`);
    return audit.map(({ items, is_complete }) => {
      if (!is_complete) {
        console.error(
          "The store cannot be reached: only recent changes follow",
        );
      }
      return createTableOutput(items, [
        "SEQUENCE",
        "TIME",
        "OPERATOR",
        "ACCEPTED BY",
        "CHANGES",
      ], (item) => [
        String(item.sequence),
        new Date(item.acceptedMs).toISOString(),
        item.operator,
        item.instance,
        item.changes.map(({ kind, name, spec }) =>
          `${spec === null ? "-" : "+"}${kind}/${name}`
        )
          .join(" ").slice(0, 100),
      ]);
    });
  }));

program.command("drain")
  .description(
    "Takes an engine, a plain server, or the daemon at --server out of use.",
  )
  .argument("<what>", "engine, plain-server or instance")
  .argument("[name]", "name of the engine or plain server")
  .action(createAction(async (client, _options, what, name) => {
    if (what === "instance") return await client.call("POST", "/api/v1/drain");
    const found = await readItems(client, what!, name);
    if (found.isErr()) return err(found.error);
    const [item] = found.value;
    const spec = { ...item!.spec, leaving: true };
    const path = `/api/v1/resources/${what}/${name}`;
    return await client.call("PUT", path, { spec, version: item!.version });
  }));

program.command("entries")
  .description("Shows the entries for a caller; takes the caller's token.")
  .action(createAction(async (client) => {
    const list = await client.call<{
      readonly entries: readonly {
        readonly url: string;
        readonly region: string;
      }[];
    }>("GET", "/v1/entries");
    return list.map(({ entries }) =>
      createTableOutput(
        entries,
        ["URL", "REGION"],
        ({ url, region }) => [url, region],
      )
    );
  }));

program.command("usage")
  .description("Shows what each team used, for charging.")
  .action(createAction(async (client) => {
    const usage = await client.call<{
      readonly teams: Readonly<
        Record<string, { readonly requests: number; readonly tokens: number }>
      >;
    }>("GET", "/api/v1/usage");
    return usage.map(({ teams }) =>
      createTableOutput(
        Object.entries(teams),
        ["TEAM", "REQUESTS", "TOKENS"],
        ([team, counters]) => [
          team,
          String(counters.requests),
          String(counters.tokens),
        ],
      )
    );
  }));

program.command("explain")
  .description(
    "Shows from logs what happened to a call, and what its instances had learned.",
  )
  .argument("<call>", "the caller's id of the call")
  .option(
    "-l, --log <file>",
    "file with log lines; - for standard input",
    "-",
  )
  .action((call: string, options: { readonly log: string }) => {
    const source = options.log === "-" ? STANDARD_INPUT : options.log;
    const explained = explainCall(
      readFileSync(source, "utf8").split("\n"),
      call,
    );
    if (explained.length === 0) {
      console.error(`No line names call "${call}"`);
      process.exitCode = EXIT_CODES.REFUSED;
      return;
    }
    console.log(explained.join("\n"));
  });

program.command("log-level")
  .description("Sets the level of the log of the daemon at --server.")
  .argument("<level>", "trace, debug, info, warn, error or silent")
  .action(
    createAction((client, _options, level) =>
      client.call("PUT", "/api/v1/log-level", { level })
    ),
  );

program.exitOverride((error) => {
  process.exit(error.exitCode === 0 ? EXIT_CODES.OK : EXIT_CODES.USAGE);
});
await program.parseAsync();

/** Output that can be printed as text or as JSON. */
interface Printable {
  readonly toJson: unknown;
  readonly toText: string;
}

function createAction(
  action: (
    client: OperatorClient,
    options: Readonly<Record<string, unknown>>,
    ...names: (string | undefined)[]
  ) => Promise<Outcome>,
): (...values: unknown[]) => Promise<void> {
  return async (...values) => {
    const command = values.at(-1) as Command;
    const globals = program.opts<GlobalOptions>();
    const client = new OperatorClient({
      servers: globals.server.split(",").map((url) =>
        url.trim().replace(/\/$/, "")
      ),
      token: globals.token,
    });
    const names = command.args as (string | undefined)[];
    const result = await action(client, command.opts(), ...names);
    if (result.isOk()) return printOutcome(result.value, globals.output);
    console.error(result.error.message);
    process.exitCode = result.error.exitCode;
  };
}

function printOutcome(value: unknown, format: string): void {
  if (value === undefined) return;
  const isPrintable = typeof value === "object" && value !== null &&
    "toText" in value;
  if (!isPrintable) return console.log(JSON.stringify(value, null, 2));
  const { toJson, toText } = value as Printable;
  console.log(format === "json" ? JSON.stringify(toJson, null, 2) : toText);
}

function createTableOutput<T>(
  rows: readonly T[],
  head: readonly string[],
  toCells: (row: T) => readonly string[],
): Printable {
  return { toJson: rows, toText: formatTable(head, rows.map(toCells)) };
}

async function readItems(
  client: OperatorClient,
  kind: string,
  name: string | undefined,
): Promise<Result<readonly ResourceItem[], OperatorFailure>> {
  if (name !== undefined) {
    const item = await client.call<ResourceItem>(
      "GET",
      `/api/v1/resources/${kind}/${name}`,
    );
    return item.map((found) => [found]);
  }
  const list = await client.call<{ readonly items: readonly ResourceItem[] }>(
    "GET",
    `/api/v1/resources/${kind}`,
  );
  return list.map(({ items }) => items);
}

async function waitUntilInForce(
  client: OperatorClient,
  sequence: number,
  waitMs: number,
): Promise<Outcome> {
  let missing: readonly string[] = [];
  for (let waitedMs = 0; waitedMs <= waitMs; waitedMs += WAIT_INTERVAL_MS) {
    const status = await client.call<StatusAnswer>("GET", "/api/v1/status");
    if (status.isErr()) return status;
    const regionsBehind = status.value.regions.filter(({ in_force }) =>
      in_force < sequence
    );
    missing = [
      ...regionsBehind.map(({ region }) => region),
      ...status.value.silent_regions,
    ];
    if (missing.length === 0) return ok({ sequence, in_force: "everywhere" });
    await new Promise((resolve) => setTimeout(resolve, WAIT_INTERVAL_MS));
  }
  const message =
    `Change ${sequence} is accepted; not yet reported in force by: ` +
    missing.join(", ");
  return err({ exitCode: EXIT_CODES.NOT_IN_FORCE, message });
}

function readDeclaredResources(
  path: string,
): Result<readonly DeclaredResource[], OperatorFailure> {
  try {
    return ok(readResourceFile(path));
  } catch (error) {
    return err({
      exitCode: EXIT_CODES.USAGE,
      message: (error as Error).message,
    });
  }
}

function describeChange(before: unknown, after: unknown): string | undefined {
  if (before === undefined) return "new";
  if (isDeepStrictEqual(before, after)) return undefined;
  const currentFields = before as Record<string, unknown>;
  const declaredFields = after as Record<string, unknown>;
  return [
    ...new Set([...Object.keys(currentFields), ...Object.keys(declaredFields)]),
  ]
    .filter((field) =>
      !isDeepStrictEqual(currentFields[field], declaredFields[field])
    )
    .map((field) =>
      `${field}: ${JSON.stringify(currentFields[field])} -> ${
        JSON.stringify(declaredFields[field])
      }`
    ).join("; ");
}

function formatStatus(status: StatusAnswer): string {
  const regions = status.regions.map((
    { region, in_force, newest, live, age_ms },
  ) => [
    region,
    String(in_force),
    String(live),
    in_force < status.sequence
      ? `behind ${status.sequence}`
      : newest > in_force
      ? "mixed"
      : "ok",
    `${age_ms} ms`,
  ]);
  const silentRegions = status.silent_regions.map((
    region,
  ) => [region, "?", "?", "no report received", "-"]);
  const notLive = status.members.filter((member) => member.status !== "live")
    .map((member) => [String(member.id), String(member.status)]);
  const enginesNotInUse = status.engines.filter((engine) =>
    engine.state !== "in use"
  )
    .map((engine) => [String(engine.id), String(engine.state)]);
  return [
    `${status.instance}: change ${status.sequence} in force, ${status.in_flight} in flight, ` +
    `store ${status.store_reachable ? "reachable" : "NOT REACHABLE"}`,
    formatTable(["REGION", "IN FORCE", "LIVE", "STATE", "AGE"], [
      ...regions,
      ...silentRegions,
    ]),
    ...(notLive.length === 0
      ? []
      : [formatTable(["INSTANCE", "STATE"], notLive)]),
    ...(enginesNotInUse.length === 0
      ? []
      : [formatTable(["ENGINE", "STATE"], enginesNotInUse)]),
  ].join("\n");
}

function formatFields(fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields)
    .filter(([name]) => name !== "tokenHashes")
    .map(([name, value]) =>
      `${name}=${typeof value === "object" ? JSON.stringify(value) : value}`
    )
    .join(" ").slice(0, 90);
}

function readDefaultServer(): string {
  return process.env.HAVENSPUR_SERVER ?? "http://127.0.0.1:7101";
}
