/** FNV-1a offset basis and prime, for 32 bits. */
const FNV_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const TWO_POW_32 = 0x1_0000_0000;

/**
 * Returns a number from 0 (included) to 1 (excluded) that all instances compute alike from
 * a text. FNV-1a with the finalizer of MurmurHash3, since FNV-1a alone leaves the upper
 * bits of short texts alike.
 */
export function computeShareHash(text: string): number {
  let hash = FNV_BASIS;
  for (let at = 0; at < text.length; at++) {
    hash = Math.imul(hash ^ text.charCodeAt(at), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return ((hash ^ (hash >>> 16)) >>> 0) / TWO_POW_32;
}
