import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collectGarbage: () => void = runInNewContext("gc");

/** Returns the size of the live objects of the heap and of their buffers, in bytes. */
export function measureHeapBytes(): number {
  collectGarbage();
  // Buffers are freed by the collection after the one that finds them.
  collectGarbage();
  const { arrayBuffers, heapUsed } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}
