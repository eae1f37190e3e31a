import { CallContent } from "../quarantine/mod.ts";

/**
 * Returns the content of a call.
 *
 * @param body What it says; all else is the same in all of them.
 */
export function createContent(body: string): CallContent {
  return new CallContent({
    method: "POST",
    host: "app.example",
    target: "/a/x",
    body: Buffer.from(body),
  });
}
