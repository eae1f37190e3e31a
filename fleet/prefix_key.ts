import { computeDigest } from "../quarantine/mod.ts";

/**
 * Maximum length of the key of a prompt prefix, in characters. Calls hold a key for each part of
 * their prompts, and caches and reports hold many keys.
 */
export const MAX_PREFIX_KEY_LENGTH = 64;
/** Begins keys that are digests, and no identifier of a part. */
const DIGEST_MARK = "~";
const SEPARATOR = ".";

/**
 * Returns the key of a prompt prefix: the identifiers of its parts, or a digest of them where
 * they are longer than {@linkcode MAX_PREFIX_KEY_LENGTH}. All instances compute the same key.
 *
 * @param key Key of the prefix that is extended; empty if there is none.
 * @param parts Identifiers of the parts that extend it, in order.
 */
export function extendPrefixKey(key: string, parts: readonly string[]): string {
  const extended = (key === "" ? parts : [key, ...parts]).join(SEPARATOR);
  return extended.length <= MAX_PREFIX_KEY_LENGTH
    ? copyText(extended)
    : DIGEST_MARK + computeDigest(extended);
}

/**
 * Returns a copy of a text. A text that was cut out of a longer one, such as a header, keeps all
 * of that one in memory.
 */
function copyText(text: string): string {
  return Buffer.from(text).toString();
}

/** Returns the key that an instance of an earlier version reports, within the maximum length. */
export function limitPrefixKey(key: string): string {
  return key.length <= MAX_PREFIX_KEY_LENGTH ? key : extendPrefixKey("", [key]);
}
