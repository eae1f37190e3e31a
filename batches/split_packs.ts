import type { BatchItem } from "./batch_document.ts";

/** Limits of a pack. */
export interface PackBounds {
  readonly maxItems: number;
  /** Maximum size of the items as JSON, in bytes. */
  readonly maxBytes: number;
}

/** Limits at which the answers to all items of a pack fit into one value of the store. */
export const PACK_BOUNDS: PackBounds = { maxItems: 50, maxBytes: 300_000 };

/**
 * Returns the items divided into packs, in order.
 *
 * @param items All items of a batch.
 * @param bounds Limits of a pack.
 */
export function splitPacks(
  items: readonly BatchItem[],
  bounds: PackBounds = PACK_BOUNDS,
): readonly (readonly BatchItem[])[] {
  const packs: BatchItem[][] = [];
  let packBytes = Infinity;
  items.forEach((item) => {
    const itemBytes = Buffer.byteLength(JSON.stringify(item));
    const lastPack = packs.at(-1);
    const fits = lastPack !== undefined && lastPack.length < bounds.maxItems &&
      packBytes + itemBytes <= bounds.maxBytes;
    if (fits) {
      lastPack.push(item);
      packBytes += itemBytes;
      return;
    }
    packs.push([item]);
    packBytes = itemBytes;
  });
  return packs;
}
