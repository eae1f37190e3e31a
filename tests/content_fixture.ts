import { CallContent } from "../quarantine/mod.ts";

/**
 * Returns the content of a call.
 *
 * @param body Body of the call; method, host and target are the same for all contents.
 */
export function createContent(body: string): CallContent {
  return new CallContent({
    method: "POST",
    host: "app.example",
    target: "/a/x",
    body: Buffer.from(body),
  });
}
