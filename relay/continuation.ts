/** The fields used here of a chunk of a chat completion or a text completion. */
interface Chunk {
  readonly id?: string;
  readonly choices?: readonly {
    readonly index?: number;
    readonly delta?: { readonly content?: string | null };
    readonly text?: string;
  }[];
}

/** The part of one stream that was delivered to the caller so far. */
export class DeliveredStream {
  /** Text of the only choice. */
  text = "";
  /** Number of chunks with text. */
  tokens = 0;
  #id: string | undefined;

  /**
   * Records one chunk. A chunk of a later attempt gets the id of the first chunk, so
   * that a caller sees one answer even if two engines generated it.
   *
   * @param data Data of the chunk.
   * @param isContinuation Whether it comes from a later attempt.
   * @returns Data to send to the caller.
   */
  record(data: string, isContinuation: boolean): string {
    const chunk = parseChunk(data);
    if (chunk === undefined) return data;
    const choice = chunk.choices?.[0];
    const text = choice?.delta?.content ?? choice?.text ?? "";
    if (text !== "") {
      this.text += text;
      this.tokens++;
    }
    this.#id ??= chunk.id;
    if (!isContinuation || chunk.id === this.#id) return data;
    return JSON.stringify({ ...chunk, id: this.#id });
  }
}

/**
 * Returns a request body that makes another engine continue after the delivered
 * text; `undefined` if that is not possible: several choices, tools, a response
 * format, details per token that cannot be joined, no tokens left within the
 * limit, or no prompt to continue.
 *
 * @param body Body of the first request.
 * @param delivered Part of the stream that the caller has.
 */
export function createContinuation(
  body: Readonly<Record<string, unknown>>,
  delivered: DeliveredStream,
): Readonly<Record<string, unknown>> | undefined {
  if (delivered.text === "") return body;
  const isJoinable = (body.n ?? 1) === 1 && body.tools === undefined &&
    body.logprobs === undefined && body.response_format === undefined;
  if (!isJoinable) return undefined;
  const limit = readTokenLimit(body);
  const remainingLimit = limit === undefined
    ? {}
    : { [limit.field]: limit.value - delivered.tokens };
  if (limit !== undefined && limit.value <= delivered.tokens) return undefined;
  if (Array.isArray(body.messages)) {
    const messages = [...body.messages, {
      role: "assistant",
      content: delivered.text,
    }];
    return {
      ...body,
      ...remainingLimit,
      messages,
      continue_final_message: true,
      add_generation_prompt: false,
    };
  }
  if (typeof body.prompt !== "string") return undefined;
  return { ...body, ...remainingLimit, prompt: body.prompt + delivered.text };
}

function readTokenLimit(
  body: Readonly<Record<string, unknown>>,
): { readonly field: string; readonly value: number } | undefined {
  const field = ["max_completion_tokens", "max_tokens"].find((name) =>
    typeof body[name] === "number"
  );
  return field === undefined
    ? undefined
    : { field, value: body[field] as number };
}

function parseChunk(data: string): Chunk | undefined {
  try {
    return JSON.parse(data) as Chunk;
  } catch {
    return undefined;
  }
}
