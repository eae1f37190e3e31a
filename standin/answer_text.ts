import { createHash } from "node:crypto";

/** A chat request, as far as the stand-in reads it. */
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

/** What is to be answered: the same words for the same question, from any engine. */
export interface AnswerPlan {
  /** Hash of the question. */
  readonly seed: string;
  /** Words that were given before. */
  readonly firstIndex: number;
  readonly tokens: number;
}

const DEFAULT_TOKENS = 16;

/**
 * Works out the answer to a request; a continued one goes on after the words
 * that its last message holds.
 *
 * @param request The body.
 */
export function planAnswer(request: AnswerRequest): AnswerPlan {
  const messages = request.messages ?? [];
  const isContinued = request.continue_final_message === true;
  const question = isContinued ? messages.slice(0, -1) : messages;
  const given = isContinued ? messages.at(-1)?.content ?? "" : "";
  const seed = createHash("sha256")
    .update(
      JSON.stringify(
        request.messages === undefined ? request.prompt : question,
      ),
    )
    .digest("hex").slice(0, 8);
  return {
    seed,
    firstIndex: given.split(" ").filter((word) => word !== "").length,
    tokens: request.max_completion_tokens ?? request.max_tokens ??
      DEFAULT_TOKENS,
  };
}

/** Returns one word of an answer. */
export function createWord(plan: AnswerPlan, index: number): string {
  return `${plan.seed}-${plan.firstIndex + index} `;
}

/** Returns the whole answer to a request, to compare with. */
export function createAnswer(request: AnswerRequest): string {
  const plan = planAnswer(request);
  return Array.from(
    { length: plan.tokens },
    (_, index) => createWord(plan, index),
  ).join("");
}
