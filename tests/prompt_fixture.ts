import {
  type CallHeaderCodec,
  GATEWAY_HEADER_CODEC,
} from "../forwarding/mod.ts";

const MODEL_HEADER = "X-Model";
const PARTS_HEADER = "X-Prompt-Parts";
/** Separates parts. A space would split the names of parts that contain one. */
const SEPARATOR = ",";
/** Tokens of each prompt part. */
const PART_TOKENS = 100;

/** Returns the headers of a prompt with the given parts; none for a prompt without parts. */
export function writePromptHeaders(
  model: string,
  parts: readonly string[],
): readonly string[] {
  if (parts.length === 0) return [];
  return [MODEL_HEADER, model, PARTS_HEADER, parts.join(SEPARATOR)];
}

/** The gateway's own headers, with those of {@linkcode writePromptHeaders}. */
export const PROMPT_HEADER_CODEC: CallHeaderCodec = {
  ...GATEWAY_HEADER_CODEC,
  readCall: (headers) => {
    const facts = GATEWAY_HEADER_CODEC.readCall(headers);
    const at = headers.indexOf(PARTS_HEADER);
    if (at < 0) return facts;
    const parts = headers[at + 1]!.split(SEPARATOR)
      .map((id) => ({ id, tokens: PART_TOKENS }));
    return {
      ...facts,
      prompt: {
        model: headers[headers.indexOf(MODEL_HEADER) + 1],
        promptTokens: parts.length * PART_TOKENS,
        maxOutputTokens: 1,
        parts,
      },
    };
  },
};
