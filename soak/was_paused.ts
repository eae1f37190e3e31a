import type { InstancePause } from "./observation.ts";

/**
 * Returns whether an instance was stalled or down at some moment of a span.
 *
 * @param pauses All pauses of a run.
 * @param instance Name of the instance.
 * @param span The span, in milliseconds.
 */
export function wasPaused(
  pauses: readonly InstancePause[],
  instance: string | undefined,
  { fromMs, toMs }: Pick<InstancePause, "fromMs" | "toMs">,
): boolean {
  return pauses.some((pause) =>
    pause.instance === instance && pause.fromMs < toMs && pause.toMs > fromMs
  );
}
