import { createHash } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { PRIORITIES, type Priority } from "../admission/mod.ts";
import type { ConfigurationState } from "../configuration/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { toRunKey } from "../ids/mod.ts";
import { createFailure, type Failure } from "../results/mod.ts";
import {
  type Call,
  type Exchange,
  type Filter,
  type ModelCall,
  type PlainCall,
  readTeam,
} from "./exchange.ts";

/** Dependencies of the filters that parse calls. */
export interface ParseParts {
  readonly configuration: ConfigurationState;
  readonly clock: Clock;
}

const DEFAULT_DEADLINE_MS = 120_000;
const MAX_DEADLINE_MS = 3_600_000;
const BYTES_PER_TOKEN = 4;
const DEFAULT_OUTPUT_TOKENS = 256;
const PREFIX_BYTES = 1_024;
const MAX_KEY_LENGTH = 200;
const IDEMPOTENT_METHODS = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS"];
const strictUtf8Decoder = new TextDecoder("utf-8", { fatal: true });

/** Returns the filter that parses a call of a model. */
export function createParseModelCall(parts: ParseParts): Filter {
  return async (exchange, next) => {
    const body = await exchange.request.readBody();
    if (body.isErr()) return err(body.error);
    const call = parseModelCall(parts, exchange, body.value);
    if (call.isErr()) return err(call.error);
    exchange.call = call.value;
    return await next();
  };
}

/** Returns the filter that parses a call of a plain service. */
export function createParsePlainCall(parts: ParseParts): Filter {
  return async (exchange, next) => {
    const body = await exchange.request.readBody();
    if (body.isErr()) return err(body.error);
    const call = parsePlainCall(parts, exchange, body.value);
    if (call.isErr()) return err(call.error);
    exchange.call = call.value;
    return await next();
  };
}

/** Parses a body as a JSON object; refuses bytes that are not UTF-8. */
export function parseJsonObject(
  body: Uint8Array,
): Result<Record<string, unknown>, Failure> {
  const refuse = (what: string) =>
    err(createFailure("BAD_REQUEST", `Cannot read body: ${what}`));
  let text: string;
  try {
    text = strictUtf8Decoder.decode(body);
  } catch {
    return refuse("wanted UTF-8");
  }
  try {
    const json: unknown = JSON.parse(text);
    const isObject = typeof json === "object" && json !== null &&
      !Array.isArray(json);
    return isObject
      ? ok(json as Record<string, unknown>)
      : refuse("wanted a JSON object");
  } catch (error) {
    return refuse(error instanceof Error ? error.message : "wanted JSON");
  }
}

function parseModelCall(
  parts: ParseParts,
  exchange: Exchange,
  body: Buffer,
): Result<ModelCall, Failure> {
  const parsed = parseJsonObject(body);
  if (parsed.isErr()) return err(parsed.error);
  const json = parsed.value;
  const problem = findBodyProblem(json, exchange.request.path);
  if (problem !== undefined) return err(createFailure("BAD_REQUEST", problem));
  const model = json.model as string;
  const service = parts.configuration.view.servicesByModel.get(model);
  if (service === undefined) {
    return err(
      createFailure("UNKNOWN_MODEL", `No service offers the model "${model}"`),
    );
  }
  const common = parseCommon(exchange, { service: service.name, body });
  if (common.isErr()) return err(common.error);
  const isNonIdempotent =
    exchange.request.headers["x-non-idempotent"] === "true";
  if (isNonIdempotent && common.value.key === undefined) {
    return err(createKeyRequired());
  }
  const { key, ...rest } = common.value;
  return ok({
    ...rest,
    kind: "model",
    model,
    json,
    isStream: json.stream === true,
    isIdempotent: !isNonIdempotent,
    runKey: isNonIdempotent ? toRunKey(readTeam(exchange).id, key!) : undefined,
    firstTokenMs: service.spec.firstTokenMs,
    size: {
      ...estimateSize(json, exchange.request.headers["x-session"], body),
      isBatch: common.value.priority === "batch",
    },
  });
}

function parsePlainCall(
  parts: ParseParts,
  exchange: Exchange,
  body: Buffer,
): Result<PlainCall, Failure> {
  const name = exchange.params.name ?? "";
  const service = parts.configuration.view.plainServices.get(name);
  if (service === undefined) {
    return err(
      createFailure("UNKNOWN_SERVICE", `No plain service is named "${name}"`),
    );
  }
  const { method, headers, query } = exchange.request;
  const path = `/${exchange.params["*"] ?? ""}`;
  const common = parseCommon(exchange, { service: name, body });
  if (common.isErr()) return err(common.error);
  const { key, ...rest } = common.value;
  const matchesRule = service.spec.nonIdempotent.some((rule) =>
    rule.method.toUpperCase() === method && path.startsWith(rule.path)
  );
  const isNonIdempotent = matchesRule || headers["x-non-idempotent"] === "true";
  if (isNonIdempotent && key === undefined) return err(createKeyRequired());
  const isJournalled = key !== undefined &&
    (isNonIdempotent || !IDEMPOTENT_METHODS.includes(method));
  return ok({
    ...rest,
    dueMs: Math.min(rest.dueMs, exchange.receivedMs + service.spec.timeoutMs),
    kind: "plain",
    contentType: headers["content-type"],
    isIdempotent: !isNonIdempotent && IDEMPOTENT_METHODS.includes(method),
    runKey: isJournalled ? toRunKey(readTeam(exchange).id, key) : undefined,
    path: path + query,
    size: {
      promptTokens: 1,
      outputTokens: 1,
      prefix: undefined,
      prefixTokens: 0,
    },
  });
}

function parseCommon(
  exchange: Exchange,
  given: { readonly service: string; readonly body: Buffer },
): Result<
  & Pick<
    Call,
    "service" | "priority" | "dueMs" | "bodyHash" | "path" | "method" | "body"
  >
  & { readonly key: string | undefined },
  Failure
> {
  const { headers, method, path } = exchange.request;
  const refuse = (what: string) => err(createFailure("BAD_REQUEST", what));
  const { services } = readTeam(exchange).spec;
  if (!services.includes("*") && !services.includes(given.service)) {
    const message = `Team ${
      readTeam(exchange).id
    } may not use ${given.service}`;
    return err(createFailure("FORBIDDEN", message));
  }
  const priority = headers["x-priority"] ?? "interactive";
  if (!PRIORITIES.includes(priority as Priority)) {
    return refuse(
      `Cannot parse x-priority: wanted one of ${PRIORITIES.join(", ")}`,
    );
  }
  const deadlineText = headers["x-deadline-ms"] ?? String(DEFAULT_DEADLINE_MS);
  const timeoutMs = Number(deadlineText);
  const isValidDeadline = /^\d{1,9}$/.test(deadlineText) && timeoutMs >= 1 &&
    timeoutMs <= MAX_DEADLINE_MS;
  if (!isValidDeadline) {
    return refuse(
      `Cannot parse x-deadline-ms: wanted 1 to ${MAX_DEADLINE_MS}`,
    );
  }
  const key = headers["idempotency-key"];
  if (key !== undefined && (key.length === 0 || key.length > MAX_KEY_LENGTH)) {
    return refuse(
      `Cannot parse Idempotency-Key: wanted 1 to ${MAX_KEY_LENGTH} characters`,
    );
  }
  const hash = createHash("sha256").update(
    `${method} ${path}${exchange.request.query}\n`,
  );
  return ok({
    service: given.service,
    priority: priority as Priority,
    dueMs: exchange.receivedMs + timeoutMs,
    bodyHash: hash.update(given.body).digest("base64url"),
    path,
    method,
    body: given.body,
    key,
  });
}

function findBodyProblem(
  json: Readonly<Record<string, unknown>>,
  path: string,
): string | undefined {
  if (typeof json.model !== "string") {
    return 'Cannot read body: "model" must be a string';
  }
  if (json.stream !== undefined && typeof json.stream !== "boolean") {
    return 'Cannot read body: "stream" must be true or false';
  }
  const tokenLimit = json.max_completion_tokens ?? json.max_tokens ?? 1;
  if (!Number.isInteger(tokenLimit) || (tokenLimit as number) < 1) {
    return 'Cannot read body: "max_tokens" must be a whole number above 0';
  }
  if (path.endsWith("/chat/completions")) {
    const hasMessages = Array.isArray(json.messages) &&
      json.messages.length > 0;
    return hasMessages
      ? undefined
      : 'Cannot read body: "messages" must be a list of messages';
  }
  const hasPrompt = typeof json.prompt === "string" ||
    Array.isArray(json.prompt);
  return hasPrompt
    ? undefined
    : 'Cannot read body: "prompt" must be a string or a list';
}

function estimateSize(
  json: Readonly<Record<string, unknown>>,
  session: string | undefined,
  body: Buffer,
): ModelCall["size"] {
  const content = JSON.stringify(json.messages ?? json.prompt);
  const promptTokens = Math.max(1, Math.ceil(body.length / BYTES_PER_TOKEN));
  const tokenLimit = json.max_completion_tokens ?? json.max_tokens;
  const prefixText = session ?? content.slice(0, PREFIX_BYTES);
  const hasPrefix = session !== undefined || content.length >= PREFIX_BYTES;
  return {
    promptTokens,
    outputTokens: typeof tokenLimit === "number"
      ? tokenLimit
      : DEFAULT_OUTPUT_TOKENS,
    prefix: hasPrefix
      ? createHash("sha1").update(prefixText).digest("base64url")
      : undefined,
    prefixTokens: session === undefined
      ? PREFIX_BYTES / BYTES_PER_TOKEN
      : Math.floor(promptTokens * 0.8),
  };
}

function createKeyRequired(): Failure {
  return createFailure(
    "KEY_REQUIRED",
    "Cannot run a non-idempotent call: wanted the header Idempotency-Key",
  );
}
