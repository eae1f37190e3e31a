import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A source of random numbers; passed as a parameter to whatever needs one. */
export interface Random {
  /** Returns a number from 0 (included) to 1 (excluded). */
  nextFloat(): number;
}

const TWO_POW_32 = 0x1_0000_0000;

/**
 * Returns a seeded, repeatable source of random numbers.
 *
 * @param seed Any integer.
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed | 0);
  return { nextFloat: () => (generator.next() >>> 0) / TWO_POW_32 };
}

/**
 * Returns one element, picked uniformly at random.
 *
 * @param items Elements to pick from; not empty.
 * @param random Source of random numbers.
 */
export function pickRandom<T>(
  items: readonly T[],
  random: Random,
): T | undefined {
  return items[Math.floor(random.nextFloat() * items.length)];
}

/**
 * Returns a random string of lower-case hexadecimal digits.
 *
 * @param random Source of random numbers.
 * @param length Number of digits. Default: 16.
 */
export function createToken(random: Random, length = 16): string {
  return Array.from(
    { length },
    () => Math.floor(random.nextFloat() * 16).toString(16),
  ).join("");
}
