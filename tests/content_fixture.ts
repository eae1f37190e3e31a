import { CallContent, type SharedPrompt } from "../quarantine/mod.ts";

/**
 * Returns the content of a call.
 *
 * @param body Body of the call; method, host and target are the same for all contents.
 * @param prompt What other calls may share of its prompt. Default: nothing.
 */
export function createContent(
  body: string,
  prompt?: SharedPrompt,
): CallContent {
  return new CallContent({
    method: "POST",
    host: "app.example",
    target: "/a/x",
    body: Buffer.from(body),
    prompt,
  });
}
