import { request } from "undici";
import { createAnswer } from "../standin/mod.ts";
import { OperatorClient } from "./operator_client.ts";
import type { RunningDeployment } from "./start_deployment.ts";

/** What a check needs. */
export interface CheckOptions {
  readonly operatorToken: string;
  readonly callerToken: string;
  readonly model: string;
  /** Takes one line for each step. */
  readonly report: (line: string) => void;
}

/** A step: `undefined` if all is well, else what is wrong. */
type Step = () => Promise<string | undefined>;

const WAIT_TRIES = 100;
const WAIT_MS = 50;

/**
 * Makes one round through a fresh deployment.
 *
 * @param deployment Nothing must be applied to it yet.
 * @param options Tokens and model.
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
  const question = {
    model: options.model,
    max_tokens: 8,
    messages: [{ role: "user", content: "check" }],
  };
  const plain = deployment.resources.find(({ kind }) =>
    kind === "plain-service"
  )!;
  const rules = plain.spec.nonIdempotent as readonly {
    readonly path: string;
  }[];
  const planPath = `/services/${plain.name}${rules[0]!.path}`;
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
        ...question,
        stream: true,
      });
      const text = joinStream(answer.text);
      return text === createAnswer(question)
        ? undefined
        : `got ${answer.text.slice(0, 300)}`;
    }],
    ["whole request", async () => {
      const answer = await call(
        urls[4]!,
        "POST",
        "/v1/chat/completions",
        question,
      );
      return answer.text.includes(createAnswer(question))
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
        return `the first got ${first.status} ${first.text}`;
      }
      if (second.text !== first.text) {
        return `the second got ${second.status} ${second.text}`;
      }
      return runs.length === 1 ? undefined : `it ran ${runs.length} times`;
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
          ...question,
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
      const isWhole = lines.length === items.length &&
        lines.every((line, index) =>
          line.includes(createAnswer(items[index]!.body))
        );
      return isWhole ? undefined : `status ${status}, ${lines.length} answers`;
    }],
    ["drain of a daemon", async () => {
      const leaving = deployment.daemons[2]!;
      const stream = call(
        leaving.record.callerUrl,
        "POST",
        "/v1/chat/completions",
        {
          ...question,
          stream: true,
          max_tokens: 40,
        },
      );
      await new Promise((resolve) => setTimeout(resolve, 100));
      await Promise.all([leaving.leave(), stream]);
      const text = joinStream((await stream).text);
      return text === createAnswer({ ...question, max_tokens: 40 })
        ? undefined
        : `the stream in flight got ${text.slice(-80)}`;
    }],
  ];
  let failed = 0;
  for (const [name, step] of steps) {
    const problem = await step().catch((error: Error) =>
      error.stack ?? error.message
    );
    if (problem !== undefined) failed++;
    options.report(
      `${problem === undefined ? "ok" : "FAILED"} ${name}${
        problem ? `: ${problem}` : ""
      }`,
    );
  }
  return failed;
}

/** Joins the words of a stream of chunks; adds nothing if it did not end. */
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

/** Waits until a condition holds; says so if it never does. */
export async function waitUntil(
  condition: () => boolean,
): Promise<string | undefined> {
  for (let attempt = 0; attempt < WAIT_TRIES; attempt++) {
    if (condition()) return undefined;
    await new Promise((resolve) => setTimeout(resolve, WAIT_MS));
  }
  return "the condition did not come to hold";
}

/** What a caller got. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** Returns a function that makes calls with one token. */
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
