import { request } from "undici";
import { createAnswer } from "../standin/mod.ts";
import { OperatorClient } from "./operator_client.ts";
import type { RunningDeployment } from "./start_deployment.ts";

/** Options of a check. */
export interface CheckOptions {
  readonly operatorToken: string;
  readonly callerToken: string;
  readonly model: string;
  /** Receives one line for each step. */
  readonly report: (line: string) => void;
}

/** Step of a check; resolves to `undefined` if it passed, otherwise to what was wrong. */
type Step = () => Promise<string | undefined>;

const MAX_WAIT_ATTEMPTS = 100;
const WAIT_INTERVAL_MS = 50;

/**
 * Checks a newly started deployment: applies its resources, makes calls of each kind,
 * and drains a daemon.
 *
 * @param deployment Deployment to which no resources have been applied yet.
 * @param options Tokens, model and receiver of the results.
 * @returns The number of steps that failed.
 */
export async function checkDeployment(
  deployment: RunningDeployment,
  options: CheckOptions,
): Promise<number> {
  const urls = deployment.daemons.map(({ record }) => record.callerUrl);
  const operator = new OperatorClient({
    servers: urls,
    token: options.operatorToken,
  });
  const call = createCaller(options.callerToken);
  const chatRequest = {
    model: options.model,
    max_tokens: 8,
    messages: [{ role: "user", content: "check" }],
  };
  const plainService = deployment.resources.find(({ kind }) =>
    kind === "plain-service"
  )!;
  const nonIdempotentRules = plainService.spec.nonIdempotent as readonly {
    readonly path: string;
  }[];
  const planPath = `/services/${plainService.name}${
    nonIdempotentRules[0]!.path
  }`;
  const steps: readonly (readonly [string, Step])[] = [
    ["apply", async () => {
      const applied = await operator.call("POST", "/api/v1/changes", {
        changes: deployment.resources,
      });
      if (applied.isErr()) return applied.error.message;
      return await waitUntil(() =>
        deployment.daemons.every(({ gateway }) =>
          gateway.configuration.sequence >= 1
        )
      );
    }],
    ["entries", async () => {
      const answer = await call(urls[0]!, "GET", "/v1/entries");
      const { entries } = JSON.parse(answer.text) as {
        readonly entries: readonly unknown[];
      };
      return entries.length > 0 ? undefined : `got no entries: ${answer.text}`;
    }],
    ["streamed request", async () => {
      const answer = await call(urls[0]!, "POST", "/v1/chat/completions", {
        ...chatRequest,
        stream: true,
      });
      const text = joinStream(answer.text);
      return text === createAnswer(chatRequest)
        ? undefined
        : `got ${answer.text.slice(0, 300)}`;
    }],
    ["whole request", async () => {
      const answer = await call(
        urls[4]!,
        "POST",
        "/v1/chat/completions",
        chatRequest,
      );
      return answer.text.includes(createAnswer(chatRequest))
        ? undefined
        : `got ${answer.text}`;
    }],
    ["plan change twice with one key", async () => {
      const headers = { "idempotency-key": "check-1" };
      const first = await call(
        urls[0]!,
        "POST",
        planPath,
        { plan: "weekly" },
        headers,
      );
      await new Promise((resolve) => setTimeout(resolve, 500));
      const second = await call(
        urls[8]!,
        "POST",
        planPath,
        { plan: "weekly" },
        headers,
      );
      const runs = [...deployment.standins.plainServers.values()]
        .flatMap((server) => server.runs).filter(({ path }) =>
          planPath.endsWith(path)
        );
      if (first.status !== 200) {
        return `the first request got ${first.status} ${first.text}`;
      }
      if (second.text !== first.text) {
        return `the second request got ${second.status} ${second.text}`;
      }
      return runs.length === 1
        ? undefined
        : `wanted one run, got ${runs.length}`;
    }],
    ["HTTP route", async () => {
      const route = deployment.resources.find(({ kind }) =>
        kind === "http-route"
      );
      const path = `${route?.spec.pathPrefix}7?full=1`;
      const answer = await request(
        `${deployment.daemons[4]!.http?.url}${path}`,
        {
          headers: { host: String(route?.spec.host) },
        },
      );
      const text = await answer.body.text();
      return answer.statusCode === 200 && text.includes(path)
        ? undefined
        : `got ${answer.statusCode} ${text}`;
    }],
    ["batch", async () => {
      const items = Array.from({ length: 20 }, (_, index) => ({
        custom_id: `item-${index}`,
        url: "/v1/chat/completions",
        body: {
          ...chatRequest,
          messages: [{ role: "user", content: `item ${index}` }],
        },
      }));
      const accepted = await call(urls[1]!, "POST", "/v1/batches", { items });
      if (accepted.status !== 202) {
        return `got ${accepted.status} ${accepted.text}`;
      }
      const { id } = JSON.parse(accepted.text) as { readonly id: string };
      let status = "";
      for (let attempt = 0; attempt < 100 && status !== "done"; attempt++) {
        await new Promise((resolve) => setTimeout(resolve, 200));
        const answer = await call(urls[5]!, "GET", `/v1/batches/${id}`);
        status =
          (JSON.parse(answer.text) as { readonly status: string }).status;
      }
      const results = await call(urls[8]!, "GET", `/v1/batches/${id}/results`);
      const lines = results.text.trim().split("\n");
      const isComplete = lines.length === items.length &&
        lines.every((line, index) =>
          line.includes(createAnswer(items[index]!.body))
        );
      return isComplete
        ? undefined
        : `status ${status}, ${lines.length} answers`;
    }],
    ["drain of a daemon", async () => {
      const drainedDaemon = deployment.daemons[2]!;
      const stream = call(
        drainedDaemon.record.callerUrl,
        "POST",
        "/v1/chat/completions",
        {
          ...chatRequest,
          stream: true,
          max_tokens: 40,
        },
      );
      await new Promise((resolve) => setTimeout(resolve, 100));
      await Promise.all([drainedDaemon.shutDown(), stream]);
      const text = joinStream((await stream).text);
      return text === createAnswer({ ...chatRequest, max_tokens: 40 })
        ? undefined
        : `the stream in flight got ${text.slice(-80)}`;
    }],
  ];
  let failed = 0;
  for (const [name, step] of steps) {
    const failure = await step().catch((error: Error) =>
      error.stack ?? error.message
    );
    if (failure !== undefined) failed++;
    options.report(
      `${failure === undefined ? "ok" : "FAILED"} ${name}${
        failure ? `: ${failure}` : ""
      }`,
    );
  }
  return failed;
}

/** Returns the text of a stream of chunks; empty if the stream did not end with `[DONE]`. */
export function joinStream(text: string): string {
  const data = text.split("\n").filter((line) => line.startsWith("data: "))
    .map((line) => line.slice("data: ".length));
  if (data.at(-1) !== "[DONE]") return "";
  return data.slice(0, -1).map((item) => {
    const chunk = JSON.parse(item) as {
      readonly choices?: readonly {
        readonly delta?: { readonly content?: string };
      }[];
    };
    return chunk.choices?.[0]?.delta?.content ?? "";
  }).join("");
}

/** Waits until a condition holds; resolves to an error message if it does not in time. */
export async function waitUntil(
  condition: () => boolean,
): Promise<string | undefined> {
  for (let attempt = 0; attempt < MAX_WAIT_ATTEMPTS; attempt++) {
    if (condition()) return undefined;
    await new Promise((resolve) => setTimeout(resolve, WAIT_INTERVAL_MS));
  }
  return "the condition did not hold in time";
}

/** Response that a caller received. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** Returns a function that makes calls with the given token. */
export function createCaller(token: string): (
  url: string,
  method: "GET" | "POST" | "DELETE",
  path: string,
  body?: unknown,
  headers?: Readonly<Record<string, string>>,
) => Promise<CallerAnswer> {
  return async (url, method, path, body, headers = {}) => {
    const response = await request(url + path, {
      method,
      headers: {
        "authorization": `Bearer ${token}`,
        "content-type": "application/json",
        ...headers,
      },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    return {
      status: response.statusCode,
      headers: response.headers,
      text: await response.body.text(),
    };
  };
}
