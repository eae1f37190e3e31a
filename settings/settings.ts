import * as z from "zod";

const address = z.string().regex(
  /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
  {
    message: "must be IP:PORT",
  },
);
const url = z.string().regex(/^https?:\/\/[0-9a-fA-F.:[\]]+$/, {
  message: "must be http(s)://IP:PORT",
});
const hash = z.string().regex(/^[0-9a-f]{64}$/, {
  message: "must be the SHA-256 of a token, in 64 hexadecimal digits",
});

/** Schema of the settings of a daemon; the keys are those of the TOML file. */
export const SETTINGS_SCHEMA = z.strictObject({
  instance: z.strictObject({
    id: z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/),
    region: z.string().min(1).max(64),
    failure_domain: z.string().min(1).max(64),
  }),
  listen: z.strictObject({
    /** Address for callers, operators and peers; UDP uses the same port number. */
    address,
  }),
  platform: z.strictObject({
    store_url: url,
    instances_url: url,
    directory_url: url,
    /** Regions in which the store keeps its data; checked against residency rules. */
    store_regions: z.array(z.string()).default([]),
    /** Loads of model weights per minute that the weight store allows for all regions together. */
    weight_loads_per_minute: z.number().positive().max(100_000).default(120),
    /** Calls to the store per second that all daemons together may make. */
    store_calls_per_second: z.number().positive().max(100_000).default(300),
  }),
  /** Plain HTTP calls, forwarded unchanged as routes declare. Default: not accepted. */
  http: z.strictObject({
    /** Address for callers. */
    address,
    /** Address for other instances: calls over TCP, reports over UDP. */
    peer_address: address,
    /** `peer_address` of a few other instances. */
    seeds: z.array(address).default([]),
  }).optional(),
  tokens: z.strictObject({
    /** SHA-256 of the first operator token. */
    operator_hash: hash,
    /** Secret shared by all daemons. */
    peer: z.string().min(16).max(256),
  }),
  limits: z.strictObject({
    max_body_bytes: z.number().int().min(1_024).max(64_000_000).default(
      1_048_576,
    ),
    max_header_bytes: z.number().int().min(1_024).max(1_000_000).default(
      16_384,
    ),
    body_timeout_ms: z.number().int().min(10).max(600_000).default(10_000),
    idle_timeout_ms: z.number().int().min(100).max(3_600_000).default(75_000),
    drain_timeout_ms: z.number().int().min(0).max(3_600_000).default(600_000),
  }).prefault({}),
  journal: z.strictObject({
    /** Must be the same at all daemons and must never change. */
    shards: z.number().int().min(1).max(4_096).default(4),
    retention_ms: z.number().int().min(60_000).max(604_800_000).default(
      3_600_000,
    ),
    gather_ms: z.number().min(0).max(1_000).default(2),
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(["trace", "debug", "info", "warn", "error", "silent"])
      .default("info"),
  }).prefault({}),
  metrics: z.strictObject({
    /** Address of a StatsD server. Default: no metrics are sent. */
    statsd: address.optional(),
  }).prefault({}),
  tls: z.strictObject({
    certificate: z.string().min(1),
    key: z.string().min(1),
    /** File of the certificate authorities trusted for peers and backend servers. */
    authorities: z.string().min(1).optional(),
  }).optional(),
});

/** Settings of a daemon. */
export type Settings = z.output<typeof SETTINGS_SCHEMA>;
