import { type CallFingerprint, toCallFingerprint } from "../ids/mod.ts";
import { computeDigest } from "./compute_digest.ts";

/** Prefix of all fingerprints of prompt parts; those of whole contents never have it. */
const PART_PREFIX = "part:";
/** Names that a fingerprint contains as they are; longer or other ones are hashed. */
const PLAIN_NAME = /^[\w.-]{1,16}$/;

/** One part of the prompt of a model. */
export interface ModelPart {
  /** Name of the model; empty if it is not known. */
  readonly model: string;
  /** Identifies the text of the part. */
  readonly part: string;
}

/**
 * Returns the fingerprint that all calls of a model with a prompt part have in common. Other
 * models have other weights and servers, which the part need not crash.
 */
export function toPartFingerprint({ model, part }: ModelPart): CallFingerprint {
  const isPlain = PLAIN_NAME.test(part) &&
    (model === "" || PLAIN_NAME.test(model));
  const name = isPlain
    ? `${part}@${model}`
    : computeDigest(JSON.stringify([model, part]));
  return toCallFingerprint(PART_PREFIX + name);
}

/** Returns whether a fingerprint is that of a prompt part. */
export function isPartFingerprint(fingerprint: CallFingerprint): boolean {
  return fingerprint.startsWith(PART_PREFIX);
}
