import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import * as z from "zod";
import { toInstanceId, toRegionId } from "../ids/mod.ts";
import type { InstanceRecord } from "../membership/mod.ts";
import type { Directory, InstanceList, PlatformFailure } from "../peers/mod.ts";
import { callWithTimeout } from "./call_with_timeout.ts";
import { readAnswerText } from "./read_answer.ts";

/** Timeout of a call to the platform, in milliseconds. */
const CALL_TIMEOUT_MS = 1_500;

const instanceListSchema = z.array(z.object({
  id: z.string(),
  region: z.string(),
  failure_domain: z.string(),
  peer_address: z.string(),
  caller_url: z.string(),
  state: z.enum(["live", "leaving"]),
}));

/** Returns a reader of the platform's list of instances, which is read over HTTP. */
export function createHttpInstanceList(baseUrl: string): InstanceList {
  return {
    read: async () => {
      const text = await callPlatform(`${baseUrl}/instances`, {
        method: "GET",
      });
      if (text.isErr()) return err(text.error);
      const parsed = instanceListSchema.safeParse(parseJson(text.value));
      if (!parsed.success) {
        return err({
          message:
            "Cannot read the instance list: expected an array of instances",
        });
      }
      return ok(parsed.data.map((item): InstanceRecord => ({
        id: toInstanceId(item.id),
        region: toRegionId(item.region),
        failureDomain: item.failure_domain,
        peerAddress: item.peer_address,
        callerUrl: item.caller_url,
        isLeaving: item.state === "leaving",
      })));
    },
  };
}

/** Returns a writer of the platform's directory, which is written over HTTP. */
export function createHttpDirectory(baseUrl: string): Directory {
  return {
    publish: async (region, urls) => {
      const text = await callPlatform(
        `${baseUrl}/directory/${encodeURIComponent(region)}`,
        {
          method: "PUT",
          body: JSON.stringify({ urls }),
        },
      );
      return text.map(() => undefined);
    },
  };
}

async function callPlatform(
  url: string,
  options: { readonly method: "GET" | "PUT"; readonly body?: string },
): Promise<Result<string, PlatformFailure>> {
  try {
    const bounds = { timeoutMs: CALL_TIMEOUT_MS };
    return await callWithTimeout(bounds, async (signal) => {
      const response = await request(url, { ...options, signal });
      const text = await readAnswerText(response.body);
      if (response.statusCode === 200) return ok(text);
      return err({ message: `Cannot call ${url}: got ${response.statusCode}` });
    });
  } catch (error) {
    return err({ message: `Cannot call ${url}: ${(error as Error).message}` });
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
