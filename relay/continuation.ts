/** The part of a chunk of a chat completion or a completion that is used here. */
interface Chunk {
  readonly id?: string;
  readonly choices?: readonly {
    readonly index?: number;
    readonly delta?: { readonly content?: string | null };
    readonly text?: string;
  }[];
}

/** What a caller was given so far of one stream. */
export class Delivered {
  /** Text of the only choice. */
  text = "";
  /** Chunks with text. */
  tokens = 0;
  #id: string | undefined;

  /**
   * Records one chunk and gives it the id of the first one, so that a caller
   * sees one answer even if two engines made it.
   *
   * @param data Data of the chunk.
   * @param isContinuation Whether it comes from a later attempt.
   * @returns Data to send.
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
 * Returns a request body that makes another engine go on after what was
 * delivered; `undefined` where that is not possible (several choices, tools, or
 * token by token details that cannot be joined).
 *
 * @param body Body of the first request.
 * @param delivered What the caller has.
 */
export function createContinuation(
  body: Readonly<Record<string, unknown>>,
  delivered: Delivered,
): Readonly<Record<string, unknown>> | undefined {
  if (delivered.text === "") return body;
  const isJoinable = (body.n ?? 1) === 1 && body.tools === undefined &&
    body.logprobs === undefined && body.response_format === undefined;
  if (!isJoinable) return undefined;
  const limit = readLimit(body);
  const rest = limit === undefined
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
      ...rest,
      messages,
      continue_final_message: true,
      add_generation_prompt: false,
    };
  }
  if (typeof body.prompt !== "string") return undefined;
  return { ...body, ...rest, prompt: body.prompt + delivered.text };
}

function readLimit(
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
