import * as z from "zod";

const arrivalsSchema = z.discriminatedUnion("kind", [
  z.strictObject({ kind: z.literal("poisson"), rate: z.number().positive() }),
  z.strictObject({
    kind: z.literal("rush"),
    rate: z.number().positive(),
    /** Calls per second during the rush. */
    peak_rate: z.number().positive(),
    from_s: z.number().min(0),
    to_s: z.number().positive(),
  }),
  z.strictObject({
    kind: z.literal("trace"),
    /** File of JSON lines with `at_ms` and, if they differ, `mix`. */
    file: z.string(),
  }),
]);

/** Schema of a scenario file. */
export const SCENARIO_SCHEMA = z.strictObject({
  seed: z.number().int().default(1),
  duration_s: z.number().positive().max(3_600),
  entries: z.array(z.string()).default([]),
  arrivals: arrivalsSchema,
  teams: z.array(z.strictObject({
    token: z.string(),
    /** Share of all calls, relative to the weights of the other teams. */
    weight: z.number().positive().default(1),
  })).min(1),
  mix: z.array(z.strictObject({
    name: z.string(),
    weight: z.number().positive().default(1),
    kind: z.enum([
      "stream",
      "whole",
      "non-idempotent",
      "disconnect",
      "slow-reader",
    ]),
    priority: z.enum(["interactive", "normal", "batch"]).default("interactive"),
    /** Path of a plain service for `non-idempotent`, otherwise the path for model calls. */
    path: z.string().default("/v1/chat/completions"),
    model: z.string().optional(),
    prompt_bytes: z.number().int().min(1).max(500_000).default(400),
    output_tokens: z.number().int().min(1).max(8_192).default(24),
    deadline_ms: z.number().int().min(1).default(20_000),
    /** Number of sessions, whose calls share a prompt prefix; 0 for none. */
    sessions: z.number().int().min(0).default(0),
  })).min(1),
  fault: z.array(z.strictObject({
    at_s: z.number().min(0),
    /** URL of a stand-in; in an embedded run also `platform`, or the name of a stand-in or daemon. */
    target: z.string(),
    set: z.record(z.string(), z.unknown()),
  })).default([]),
});

/** Load scenario: teams, call mix, arrival process and faults. */
export type Scenario = z.output<typeof SCENARIO_SCHEMA>;
