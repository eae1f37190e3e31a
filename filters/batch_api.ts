import { createHash } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { type BatchHead, type BatchItem, BatchStore } from "../batches/mod.ts";
import { createToken } from "../clock/mod.ts";
import type { ConfigurationState } from "../configuration/mod.ts";
import { type RegionId, toChangeId } from "../ids/mod.ts";
import type { GatewayParts } from "../ports/mod.ts";
import { type CatalogView, readAllowedRegions } from "../resources/mod.ts";
import { createFailure, type Failure } from "../results/mod.ts";
import type { GuardedStore, StoreFailure } from "../store/mod.ts";
import {
  createJsonReply,
  type Exchange,
  type Filter,
  readTeam,
  type Reply,
} from "./exchange.ts";
import { parseJsonObject } from "./parse_call.ts";

import * as z from "zod";

/** What the batch API uses of an instance's gateway. */
export interface BatchApiGateway {
  readonly parts: Pick<GatewayParts, "clock" | "options" | "random">;
  readonly configuration: ConfigurationState;
  readonly store: GuardedStore;
}

type Handler = (exchange: Exchange) => Promise<Result<Reply, Failure>>;

const MAX_ITEMS = 10_000;
const DEFAULT_DEADLINE_MS = 86_400_000;
const MAX_DEADLINE_MS = 7 * 86_400_000;
const SERVICE_PATH = /^\/services\/([^/]+)\//;
const MODEL_PATHS = ["/v1/chat/completions", "/v1/completions"];

const submissionSchema = z.strictObject({
  items: z.array(z.strictObject({
    custom_id: z.string().min(1).max(200),
    url: z.string().startsWith("/").max(1_000),
    method: z.enum(["POST", "PUT", "PATCH", "DELETE", "GET"]).default("POST"),
    body: z.record(z.string(), z.unknown()).default({}),
    non_idempotent: z.boolean().default(false),
  })).min(1),
  deadline_ms: z.number().int().min(1_000).max(MAX_DEADLINE_MS).default(
    DEFAULT_DEADLINE_MS,
  ),
});

/** The handlers of the batch API, by method and path. */
export const BATCH_HANDLERS: readonly {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly handler: (gateway: BatchApiGateway) => Filter;
}[] = [
  { method: "POST", path: "/v1/batches", handler: createSubmit },
  { method: "GET", path: "/v1/batches/:id", handler: createReadStatus },
  {
    method: "GET",
    path: "/v1/batches/:id/results",
    handler: createReadResults,
  },
  { method: "POST", path: "/v1/batches/:id/cancel", handler: createCancel },
];

/**
 * Returns the regions that may hold the data of a batch; `undefined` if all may.
 *
 * @param view Configuration in force.
 * @param team Team that submits the batch.
 * @param services Services that the items of the batch call.
 */
export function readBatchRegions(
  view: CatalogView,
  team: string,
  services: readonly string[],
): ReadonlySet<RegionId> | undefined {
  const rules = [
    view.teams.get(team)?.spec.residency,
    ...services.map((service) =>
      (view.services.get(service) ?? view.plainServices.get(service))?.spec
        .residency
    ),
  ];
  return rules.map((rule) => readAllowedRegions(view.catalog, rule))
    .reduce(
      (allowed, next) =>
        allowed === undefined || next === undefined
          ? allowed ?? next
          : new Set([...allowed].filter((region) => next.has(region))),
      undefined,
    );
}

function createSubmit(gateway: BatchApiGateway): Handler {
  const store = createBatchStore(gateway);
  return async (exchange) => {
    const body = await exchange.request.readBody();
    if (body.isErr()) return err(body.error);
    const parsed = parseSubmission(gateway, exchange, body.value);
    if (parsed.isErr()) return err(parsed.error);
    const { items, services, deadlineMs } = parsed.value;
    const refusal = checkStoreRegions(gateway, readTeam(exchange).id, services);
    if (refusal !== undefined) return err(refusal);
    const nowMs = gateway.parts.clock.nowMs();
    const key = exchange.request.headers["idempotency-key"] ??
      createToken(gateway.parts.random);
    const team = readTeam(exchange).id;
    const head = await store.submit({
      id: createHash("sha256").update(`${team}/${key}`).digest("hex").slice(
        0,
        24,
      ),
      team,
      services,
      bodyHash: createHash("sha256").update(body.value).digest("base64url"),
      items,
      createdMs: nowMs,
      dueMs: nowMs + deadlineMs,
    });
    return head.map((accepted) => createJsonReply(202, toView(accepted, 0)));
  };
}

function createReadStatus(gateway: BatchApiGateway): Handler {
  const store = createBatchStore(gateway);
  return async (exchange) => {
    const head = await readOwnBatch(store, exchange);
    if (head.isErr()) return err(head.error);
    const counts = await store.countAnswers(head.value.id);
    if (counts.isErr()) return err(toFailure(counts.error));
    const done = [...counts.value.values()].reduce(
      (sum, count) => sum + count,
      0,
    );
    return ok(createJsonReply(200, toView(head.value, done)));
  };
}

function createReadResults(gateway: BatchApiGateway): Handler {
  const store = createBatchStore(gateway);
  return async (exchange) => {
    const head = await readOwnBatch(store, exchange);
    if (head.isErr()) return err(head.error);
    const answers = await store.readAllAnswers(head.value.id);
    if (answers.isErr()) return err(toFailure(answers.error));
    const lines = answers.value.map((answer) => JSON.stringify(answer)).join(
      "\n",
    );
    return ok({
      kind: "whole",
      status: 200,
      headers: { "content-type": "application/jsonl" },
      body: lines === "" ? "" : `${lines}\n`,
    });
  };
}

function createCancel(gateway: BatchApiGateway): Handler {
  const store = createBatchStore(gateway);
  return async (exchange) => {
    const head = await readOwnBatch(store, exchange);
    if (head.isErr()) return err(head.error);
    const cancelled = await store.end(
      head.value.id,
      "cancelled",
      gateway.parts.clock.nowMs(),
    );
    if (cancelled.isErr()) return err(toFailure(cancelled.error));
    return ok(createJsonReply(200, toView(cancelled.value ?? head.value, 0)));
  };
}

function createBatchStore(gateway: BatchApiGateway): BatchStore {
  return new BatchStore(
    gateway.store,
    () => toChangeId(createToken(gateway.parts.random)),
  );
}

async function readOwnBatch(
  store: BatchStore,
  exchange: Exchange,
): Promise<Result<BatchHead, Failure>> {
  const id = exchange.params.id ?? "";
  const head = await store.readHead(id);
  if (head.isErr()) return err(toFailure(head.error));
  const isOwn = head.value?.team === readTeam(exchange).id;
  if (head.value === undefined || !isOwn) {
    return err(
      createFailure("NOT_FOUND", `No batch "${id.slice(0, 80)}" exists`),
    );
  }
  return ok(head.value);
}

function parseSubmission(
  gateway: BatchApiGateway,
  exchange: Exchange,
  body: Buffer,
): Result<
  {
    readonly items: readonly BatchItem[];
    readonly services: readonly string[];
    readonly deadlineMs: number;
  },
  Failure
> {
  const json = parseJsonObject(body);
  if (json.isErr()) return err(json.error);
  const parsed = submissionSchema.safeParse(json.value);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    const message = `Cannot read the batch: ${issue!.path.join(".")}: ${
      issue!.message
    }`;
    return err(createFailure("BAD_REQUEST", message));
  }
  const { items, deadline_ms } = parsed.data;
  if (items.length > MAX_ITEMS) {
    return err(
      createFailure(
        "BATCH_TOO_LARGE",
        `A batch holds at most ${MAX_ITEMS} items`,
      ),
    );
  }
  const customIds = new Set(items.map(({ custom_id }) => custom_id));
  if (customIds.size !== items.length) {
    return err(
      createFailure(
        "BAD_REQUEST",
        "Cannot read the batch: a custom_id stands twice",
      ),
    );
  }
  const services = new Set<string>();
  for (const item of items) {
    const service = findService(gateway.configuration.view, item);
    if (service.isErr()) return err(service.error);
    services.add(service.value);
  }
  const { spec } = readTeam(exchange);
  const forbidden = [...services].find((service) =>
    !spec.services.includes("*") && !spec.services.includes(service)
  );
  if (forbidden !== undefined) {
    return err(createFailure("FORBIDDEN", `The team may not use ${forbidden}`));
  }
  return ok({ items, services: [...services].sort(), deadlineMs: deadline_ms });
}

function findService(
  view: CatalogView,
  item: BatchItem,
): Result<string, Failure> {
  const plain = SERVICE_PATH.exec(item.url)?.[1];
  if (plain !== undefined) {
    if (view.plainServices.has(plain)) return ok(plain);
    return err(
      createFailure("UNKNOWN_SERVICE", `No plain service is named "${plain}"`),
    );
  }
  if (!MODEL_PATHS.includes(item.url)) {
    return err(
      createFailure(
        "BAD_REQUEST",
        `Item ${item.custom_id}: no such url "${item.url}"`,
      ),
    );
  }
  const model = String(item.body.model);
  const service = view.servicesByModel.get(model);
  if (service !== undefined) return ok(service.name);
  return err(
    createFailure("UNKNOWN_MODEL", `No service offers the model "${model}"`),
  );
}

/**
 * Refuses a batch unless all regions of the store are allowed, since the store holds
 * the items and answers.
 */
function checkStoreRegions(
  gateway: BatchApiGateway,
  team: string,
  services: readonly string[],
): Failure | undefined {
  const allowed = readBatchRegions(gateway.configuration.view, team, services);
  if (allowed === undefined) return undefined;
  const { storeRegions } = gateway.parts.options;
  const isAllowed = storeRegions.length > 0 &&
    storeRegions.every((region) =>
      [...allowed].some((each) => each === region)
    );
  if (isAllowed) return undefined;
  const location = storeRegions.length === 0
    ? "regions that are not declared"
    : storeRegions.join();
  return createFailure(
    "RESIDENCY_REFUSED",
    `The residency rules forbid this batch: the store keeps its data in ${location}`,
  );
}

function toView(head: BatchHead, done: number): unknown {
  return {
    id: head.id,
    object: "batch",
    status: head.state === "open" ? "in_progress" : head.state,
    created_at_ms: head.createdMs,
    deadline_at_ms: head.dueMs,
    counts: { total: head.itemCount, done },
  };
}

function toFailure(failure: StoreFailure): Failure {
  return createFailure("STORE_UNAVAILABLE", failure.message, {
    retryAfterMs: 1_000,
  });
}
