import * as z from "zod";

const resourceName = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/);
const regionName = z.string().min(1).max(64);
const ratio = z.number().min(0).max(100);

const weights = z.strictObject({
  /** Weight of tail latency when an engine is picked. */
  latency: ratio.default(1),
  /** Weight of price when an engine is picked. */
  cost: ratio.default(1),
});

const service = z.strictObject({
  model: resourceName,
  adapters: z.array(resourceName).default([]),
  residency: resourceName.optional(),
  weights: weights.default({ latency: 1, cost: 1 }),
  /** Target time to the first token, in milliseconds. */
  firstTokenMs: z.number().int().min(10).max(600_000).default(770),
});

const plainService = z.strictObject({
  residency: resourceName.optional(),
  /** Methods and path prefixes whose calls must not be retried. */
  nonIdempotent: z.array(
    z.strictObject({
      method: z.string().min(1),
      path: z.string().startsWith("/"),
    }),
  ).default([]),
  timeoutMs: z.number().int().min(10).max(600_000).default(10_000),
});

const model = z.strictObject({
  contextTokens: z.number().int().min(1).default(8_192),
  sizeGigabytes: z.number().positive().default(8),
});

const adapter = z.strictObject({
  model: resourceName,
  sizeGigabytes: z.number().positive().default(0.2),
});

const version = z.strictObject({
  model: resourceName,
  weights: z.string().min(1),
});

const residency = z.strictObject({ regions: z.array(regionName).min(1) });

const placement = z.strictObject({
  service: resourceName,
  region: regionName,
  version: resourceName,
  replicas: z.number().int().min(0).max(10_000),
});

const team = z.strictObject({
  role: z.enum(["caller", "operator"]).default("caller"),
  /** SHA-256 of each token, in hexadecimal digits. */
  tokenHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).default([]),
  /** Names of services and plain services; `*` for all. */
  services: z.array(z.string().min(1)).default(["*"]),
  requestsPerSecond: z.number().positive().default(100),
  concurrentStreams: z.number().int().positive().default(200),
  residency: resourceName.optional(),
});

const serverUrl = z.string().regex(/^https?:\/\/[0-9a-fA-F.:[\]]+$/, {
  message: "must be http(s)://IP:PORT",
});

const engine = z.strictObject({
  service: resourceName,
  region: regionName,
  failureDomain: z.string().min(1),
  url: serverUrl,
  role: z.enum(["both", "prefill", "decode"]).default("both"),
  /** Price of one second of use, in any currency that is the same for all engines. */
  pricePerSecond: z.number().min(0).default(1),
  /** Whether the engine refuses an order with an outdated fencing token. */
  checksFencing: z.boolean().default(false),
  /** Number of sequences that the engine decodes at the same time. */
  slots: z.number().int().min(1).max(4_096).default(16),
  leaving: z.boolean().default(false),
});

const plainServer = z.strictObject({
  service: resourceName,
  region: regionName,
  failureDomain: z.string().min(1),
  url: serverUrl,
  leaving: z.boolean().default(false),
});

const httpRoute = z.strictObject({
  /** Host of the calls, without the port. */
  host: z.string().min(1).max(253),
  /** Prefix of the path of the calls; the longest matching prefix wins. */
  pathPrefix: z.string().regex(/^\/(.*\/)?$/, {
    message: "must begin and end with a slash",
  }),
  routeClass: z.enum(["idempotent", "non-idempotent", "stream"])
    .default("non-idempotent"),
  timeoutMs: z.number().int().min(10).max(600_000).default(10_000),
  /** Target response time in milliseconds; for a stream, until its first event. */
  targetMs: z.number().int().min(1).max(600_000).default(1_000),
  /** Priority of the calls; 0 is the most urgent. */
  priority: z.number().int().min(0).max(9).default(0),
  /** Whether callers need no key. Otherwise they need the key of a team. */
  public: z.boolean().default(true),
  /** Plain services that share the calls, by weight. */
  services: z.array(z.strictObject({
    service: resourceName,
    weight: z.number().min(0).default(1),
  })).min(1),
  maxAttempts: z.number().int().min(1).max(10).default(1),
  /** Whether a broken stream may be resumed at another server. */
  resumable: z.boolean().default(false),
  residency: resourceName.optional(),
});

/** The schema of each kind of resource. */
export const RESOURCE_SCHEMAS = {
  "service": service,
  "plain-service": plainService,
  "model": model,
  "adapter": adapter,
  "version": version,
  "residency": residency,
  "placement": placement,
  "team": team,
  "engine": engine,
  "plain-server": plainServer,
  "http-route": httpRoute,
} as const;

/** The declared state of each kind of resource. */
export type ResourceSpecs = {
  readonly [Kind in keyof typeof RESOURCE_SCHEMAS]: z.output<
    (typeof RESOURCE_SCHEMAS)[Kind]
  >;
};

/** Schema of the name of a resource. */
export const RESOURCE_NAME = resourceName;
