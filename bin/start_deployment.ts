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

/** Running stand-ins of a deployment. */
export interface RunningStandins {
  readonly platform: PlatformServer;
  readonly engines: ReadonlyMap<string, EngineServer>;
  readonly plainServers: ReadonlyMap<string, PlainServer>;
  stop(): Promise<void>;
}

/** One resource as declared in a file. */
export interface DeclaredResource {
  readonly kind: string;
  readonly name: string;
  readonly spec: Record<string, unknown>;
}

/** A deployment running in one process. */
export interface RunningDeployment {
  readonly standins: RunningStandins;
  readonly daemons: readonly RunningDaemon[];
  /** Resources of the deployment, with the URLs of the running stand-ins. */
  readonly resources: readonly DeclaredResource[];
  /** Sets the instance list of the stand-in platform. */
  registerInstances(daemons: readonly RunningDaemon[]): void;
  /** Starts the daemon with the given instance id again. */
  restart(id: string): Promise<RunningDaemon>;
  stop(): Promise<void>;
}

/** Options of `startDeployment`. */
export interface DeploymentOptions {
  /** Receives the log lines of the daemons. Default: discards them. */
  readonly writeLog?: (line: string) => void;
  /** Whether to use the ports of the files instead of free ones. Default: `false`. */
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
 * @param path Path of the file.
 * @throws {Error} If the file does not declare valid resources.
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
 * @param path Path of the TOML file.
 * @param usesFilePorts Whether to use the ports of the file instead of free ones.
 */
export async function startStandins(
  path: string,
  usesFilePorts: boolean,
): Promise<RunningStandins> {
  const description = STANDINS_SCHEMA.parse(parse(readFileSync(path, "utf8")));
  const toPort = (port: number) => usesFilePorts ? port : 0;
  const platform = new PlatformServer(systemClock);
  await platform.start(toPort(description.platform.port));
  const engines = new Map(description.engine.map((engine) => [
    engine.name,
    new EngineServer({
      clock: systemClock,
      speed: engine.speed === "new" ? NEW_ENGINE : OLD_ENGINE,
      region: engine.region,
      checksFencing: engine.checks_fencing,
      port: toPort(engine.port),
    }),
  ]));
  const plainServers = new Map(description.plain_server.map((server) => [
    server.name,
    new PlainServer(systemClock, server.region),
  ]));
  await Promise.all([...engines.values()].map((engine) => engine.start()));
  await Promise.all(
    description.plain_server.map(({ name, port }) =>
      plainServers.get(name)!.start(toPort(port))
    ),
  );
  platform.setInstances(description.instance.map((instance) => ({
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
        platform.crash(),
        ...[...engines.values()].map((engine) =>
          engine.crash().catch(() => {})
        ),
        ...[...plainServers.values()].map((server) =>
          server.crash().catch(() => {})
        ),
      ]);
    },
  };
}

/**
 * Starts the stand-ins and all daemons of a deployment in this process.
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
  const fileSettings = files.map((file) =>
    readSettingsFile(join(directory, "daemons", file))
  );
  const settings = usesFilePorts
    ? fileSettings
    : fileSettings.map((each) => useFreePorts(each, platform.url));
  const running = new Map<string, RunningDaemon>();
  const startInstance = async (each: Settings) => {
    const daemon = await startDaemon(each, { writeLog });
    running.set(each.instance.id, daemon);
    return daemon;
  };
  await Promise.all(settings.map(startInstance));
  const registerInstances = (daemons: readonly RunningDaemon[]) =>
    platform.setInstances(daemons.map(({ record }) => ({
      id: record.id,
      region: record.region,
      failure_domain: record.failureDomain,
      peer_address: record.peerAddress,
      caller_url: record.callerUrl,
      state: "live",
    })));
  const daemons = settings.map(({ instance }) => running.get(instance.id)!);
  registerInstances(daemons);
  exchangeSeedAddresses(daemons);
  return {
    standins,
    daemons,
    resources: readResourceFile(join(directory, "resources.toml"))
      .map((resource) => useStandinUrl(standins, resource)),
    registerInstances,
    restart: async (id) => {
      const instanceSettings = settings.find(({ instance }) =>
        instance.id === id
      )!;
      const daemon = await startInstance(instanceSettings);
      registerInstances([...running.values()]);
      exchangeSeedAddresses([...running.values()]);
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
 * Reads and validates the settings of a daemon.
 *
 * @param path Path of the file.
 * @throws {Error} If the settings are invalid; the message lists all problems.
 */
export function readSettingsFile(path: string): Settings {
  const parsed = parseSettings(readFileSync(path, "utf8"), SETTINGS_SCHEMA);
  if (parsed.isOk()) return parsed.value;
  throw new Error(
    parsed.error.map((problem) => formatProblem(path, problem)).join("\n"),
  );
}

function useFreePorts(settings: Settings, platformUrl: string): Settings {
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

/** Gives each daemon the peer addresses of all, in place of the seeds in the settings files. */
function exchangeSeedAddresses(daemons: readonly RunningDaemon[]): void {
  const seeds = daemons.flatMap(({ http }) => http?.peerAddress ?? []);
  daemons.forEach(({ http }) => http?.setSeeds(seeds));
}

function useStandinUrl(
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
