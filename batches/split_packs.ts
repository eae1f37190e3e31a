import type { BatchItem } from "./batch_document.ts";

/** Bounds of a pack. */
export interface PackBounds {
  readonly maxItems: number;
  readonly maxBytes: number;
}

/** Packs small enough that the answers fit into one value beside each other. */
export const PACK_BOUNDS: PackBounds = { maxItems: 50, maxBytes: 300_000 };

/**
 * Returns the items in packs, in order.
 *
 * @param items All items.
 * @param bounds Bounds of a pack.
 */
export function splitPacks(
  items: readonly BatchItem[],
  bounds: PackBounds = PACK_BOUNDS,
): readonly (readonly BatchItem[])[] {
  const packs: BatchItem[][] = [];
  let size = Infinity;
  items.forEach((item) => {
    const bytes = Buffer.byteLength(JSON.stringify(item));
    const last = packs.at(-1);
    const fits = last !== undefined && last.length < bounds.maxItems &&
      size + bytes <= bounds.maxBytes;
    if (fits) {
      last.push(item);
      size += bytes;
      return;
    }
    packs.push([item]);
    size = bytes;
  });
  return packs;
}
