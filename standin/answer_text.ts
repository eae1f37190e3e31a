import { createHash } from "node:crypto";

/** The fields of a completion request that the stand-in reads. */
export interface AnswerRequest {
  readonly messages?: readonly {
    readonly role: string;
    readonly content: string;
  }[];
  readonly prompt?: string;
  readonly max_tokens?: number;
  readonly max_completion_tokens?: number;
  readonly continue_final_message?: boolean;
}

/** Plan of an answer. Every engine plans the same words for the same question. */
export interface AnswerPlan {
  /** First 8 hexadecimal digits of the question's SHA-256; each word begins with them. */
  readonly seed: string;
  /** Index of the first word; greater than 0 if the request continues an answer. */
  readonly firstIndex: number;
  /** Number of words in the answer. */
  readonly tokens: number;
}

const DEFAULT_TOKENS = 16;

/**
 * Returns the plan of the answer to a request. If the request asks to continue the
 * final message, the answer starts after the words of that message.
 *
 * @param request Body of the request.
 */
export function planAnswer(request: AnswerRequest): AnswerPlan {
  const messages = request.messages ?? [];
  const isContinued = request.continue_final_message === true;
  const question = isContinued ? messages.slice(0, -1) : messages;
  const continuedText = isContinued ? messages.at(-1)?.content ?? "" : "";
  const seed = createHash("sha256")
    .update(
      JSON.stringify(
        request.messages === undefined ? request.prompt : question,
      ),
    )
    .digest("hex").slice(0, 8);
  return {
    seed,
    firstIndex: continuedText.split(" ").filter((word) => word !== "").length,
    tokens: request.max_completion_tokens ?? request.max_tokens ??
      DEFAULT_TOKENS,
  };
}

/** Returns the word at an index of an answer, followed by a space. */
export function createWord(plan: AnswerPlan, index: number): string {
  return `${plan.seed}-${plan.firstIndex + index} `;
}

/** Returns the complete answer to a request, as the expected value for comparisons. */
export function createAnswer(request: AnswerRequest): string {
  const plan = planAnswer(request);
  return Array.from(
    { length: plan.tokens },
    (_, index) => createWord(plan, index),
  ).join("");
}
