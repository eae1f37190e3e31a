import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { parse } from "smol-toml";
import * as z from "zod";
import { systemClock } from "../adapters/system_clock.ts";
import {
  formatProblem,
  parseSettings,
  type Settings,
  SETTINGS_SCHEMA,
} from "../settings/mod.ts";
import {
  EngineServer,
  NEW_ENGINE,
  OLD_ENGINE,
  PlainServer,
  PlatformServer,
} from "../standin/mod.ts";
import { type RunningDaemon, startDaemon } from "./start_daemon.ts";

const LOOPBACK = "127.0.0.1";

/** Schema of the file that describes the stand-ins of a deployment. */
export const STANDINS_SCHEMA = z.strictObject({
  platform: z.strictObject({ port: z.number().int().min(0).max(65_535) }),
  engine: z.array(z.strictObject({
    name: z.string(),
    region: z.string(),
    port: z.number().int().min(0).max(65_535),
    speed: z.enum(["new", "old"]),
    checks_fencing: z.boolean(),
  })).default([]),
  plain_server: z.array(z.strictObject({
    name: z.string(),
    region: z.string(),
    port: z.number().int().min(0).max(65_535),
  })).default([]),
  instance: z.array(z.strictObject({
    id: z.string(),
    region: z.string(),
    failure_domain: z.string(),
    address: z.string(),
  })).default([]),
});

/** Stand-ins of a deployment that run. */
export interface RunningStandins {
  readonly platform: PlatformServer;
  readonly engines: ReadonlyMap<string, EngineServer>;
  readonly plainServers: ReadonlyMap<string, PlainServer>;
  stop(): Promise<void>;
}

/** One resource as a file declares it. */
export interface DeclaredResource {
  readonly kind: string;
  readonly name: string;
  readonly spec: Record<string, unknown>;
}

/** A deployment that runs in one process. */
export interface RunningDeployment {
  readonly standins: RunningStandins;
  readonly daemons: readonly RunningDaemon[];
  /** Resources, with the addresses of the stand-ins. */
  readonly resources: readonly DeclaredResource[];
  /** Tells the platform's list which instances there are. */
  listInstances(daemons: readonly RunningDaemon[]): void;
  /** Starts one of its daemons again. */
  restart(id: string): Promise<RunningDaemon>;
  stop(): Promise<void>;
}

/** Optional parts of a deployment. */
export interface DeploymentOptions {
  /** Takes the logs of the daemons. Default: dropped. */
  readonly writeLog?: (line: string) => void;
  /** Whether the ports of the files are used; else free ones. Default: `false`. */
  readonly usesFilePorts?: boolean;
}

const resourcesSchema = z.strictObject({
  resource: z.array(z.strictObject({
    kind: z.string(),
    name: z.string(),
    spec: z.record(z.string(), z.unknown()),
  })),
});

/**
 * Reads the resources that a TOML file declares.
 *
 * @param path The file.
 * @throws {Error} If the file does not hold resources.
 */
export function readResourceFile(path: string): readonly DeclaredResource[] {
  const parsed = resourcesSchema.safeParse(parse(readFileSync(path, "utf8")));
  if (parsed.success) return parsed.data.resource;
  const [issue] = parsed.error.issues;
  throw new Error(
    `Cannot read ${path}: ${issue!.path.join(".")}: ${issue!.message}`,
  );
}

/**
 * Starts the stand-ins that a file describes.
 *
 * @param path The file.
 * @param usesFilePorts Whether its ports are used; else free ones.
 */
export async function startStandins(
  path: string,
  usesFilePorts: boolean,
): Promise<RunningStandins> {
  const described = STANDINS_SCHEMA.parse(parse(readFileSync(path, "utf8")));
  const toPort = (port: number) => usesFilePorts ? port : 0;
  const platform = new PlatformServer(systemClock);
  await platform.start(toPort(described.platform.port));
  const engines = new Map(described.engine.map((engine) => [
    engine.name,
    new EngineServer({
      clock: systemClock,
      speed: engine.speed === "new" ? NEW_ENGINE : OLD_ENGINE,
      region: engine.region,
      checksFencing: engine.checks_fencing,
      port: toPort(engine.port),
    }),
  ]));
  const plainServers = new Map(described.plain_server.map((server) => [
    server.name,
    new PlainServer(systemClock, server.region),
  ]));
  await Promise.all([...engines.values()].map((engine) => engine.start()));
  await Promise.all(
    described.plain_server.map(({ name, port }) =>
      plainServers.get(name)!.start(toPort(port))
    ),
  );
  platform.setInstances(described.instance.map((instance) => ({
    id: instance.id,
    region: instance.region,
    failure_domain: instance.failure_domain,
    peer_address: instance.address,
    caller_url: `http://${instance.address}`,
    state: "live",
  })));
  return {
    platform,
    engines,
    plainServers,
    stop: async () => {
      await Promise.all([
        platform.die(),
        ...[...engines.values()].map((engine) => engine.die().catch(() => {})),
        ...[...plainServers.values()].map((server) =>
          server.die().catch(() => {})
        ),
      ]);
    },
  };
}

/**
 * Starts stand-ins and all daemons of a deployment in this process.
 *
 * @param directory Folder with `standins.toml`, `resources.toml` and `daemons/`.
 * @param options Logs and ports.
 */
export async function startDeployment(
  directory: string,
  options: DeploymentOptions = {},
): Promise<RunningDeployment> {
  const usesFilePorts = options.usesFilePorts ?? false;
  const writeLog = options.writeLog ?? (() => {});
  const standins = await startStandins(
    join(directory, "standins.toml"),
    usesFilePorts,
  );
  const { platform } = standins;
  const files = readdirSync(join(directory, "daemons")).sort();
  const read = files.map((file) =>
    readSettingsFile(join(directory, "daemons", file))
  );
  const settings = usesFilePorts
    ? read
    : read.map((each) => withFreePort(each, platform.url));
  const running = new Map<string, RunningDaemon>();
  const start = async (each: Settings) => {
    const daemon = await startDaemon(each, { writeLog });
    running.set(each.instance.id, daemon);
    return daemon;
  };
  await Promise.all(settings.map(start));
  const listInstances = (daemons: readonly RunningDaemon[]) =>
    platform.setInstances(daemons.map(({ record }) => ({
      id: record.id,
      region: record.region,
      failure_domain: record.failureDomain,
      peer_address: record.peerAddress,
      caller_url: record.callerUrl,
      state: "live",
    })));
  const daemons = settings.map(({ instance }) => running.get(instance.id)!);
  listInstances(daemons);
  shareSeeds(daemons);
  return {
    standins,
    daemons,
    resources: readResourceFile(join(directory, "resources.toml"))
      .map((resource) => withStandinUrl(standins, resource)),
    listInstances,
    restart: async (id) => {
      const known = settings.find(({ instance }) => instance.id === id)!;
      const daemon = await start(known);
      listInstances([...running.values()]);
      shareSeeds([...running.values()]);
      return daemon;
    },
    stop: async () => {
      await Promise.all(
        [...running.values()].map((daemon) => daemon.kill().catch(() => {})),
      );
      await standins.stop();
    },
  };
}

/**
 * Reads and checks the settings of a daemon.
 *
 * @param path The file.
 * @throws {Error} With all problems, if there are any.
 */
export function readSettingsFile(path: string): Settings {
  const parsed = parseSettings(readFileSync(path, "utf8"), SETTINGS_SCHEMA);
  if (parsed.isOk()) return parsed.value;
  throw new Error(
    parsed.error.map((problem) => formatProblem(path, problem)).join("\n"),
  );
}

function withFreePort(settings: Settings, platformUrl: string): Settings {
  return {
    ...settings,
    http: settings.http && {
      address: `${LOOPBACK}:0`,
      peer_address: `${LOOPBACK}:0`,
      seeds: [],
    },
    listen: { address: "127.0.0.1:0" },
    platform: {
      ...settings.platform,
      store_url: platformUrl,
      instances_url: platformUrl,
      directory_url: platformUrl,
    },
  };
}

/** Each instance is told of the others, as the files do. */
function shareSeeds(daemons: readonly RunningDaemon[]): void {
  const seeds = daemons.flatMap(({ http }) => http?.peerAddress ?? []);
  daemons.forEach(({ http }) => http?.setSeeds(seeds));
}

function withStandinUrl(
  standins: RunningStandins,
  resource: DeclaredResource,
): DeclaredResource {
  const server = resource.kind === "engine"
    ? standins.engines.get(resource.name)
    : standins.plainServers.get(resource.name);
  const isServer = resource.kind === "engine" ||
    resource.kind === "plain-server";
  if (!isServer || server === undefined) return resource;
  return { ...resource, spec: { ...resource.spec, url: server.url } };
}
