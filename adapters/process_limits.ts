import { totalmem } from "node:os";
import { constrainedMemory } from "node:process";
import { getHeapStatistics } from "node:v8";
import type { InstanceLimits } from "../capacity/mod.ts";

const BYTES_PER_MB = 1_000_000;

/**
 * Returns the memory that this process may use: that of the machine or of its control group,
 * and the size of the heap, which an option of Node sets.
 */
export function readProcessLimits(): Required<
  Pick<InstanceLimits, "heapMb" | "memoryMb">
> {
  // The value is 0 where there is no control group, and huge where it has no limit.
  const memoryBytes = Math.min(totalmem(), constrainedMemory() || Infinity);
  return {
    heapMb: getHeapStatistics().heap_size_limit / BYTES_PER_MB,
    memoryMb: memoryBytes / BYTES_PER_MB,
  };
}
