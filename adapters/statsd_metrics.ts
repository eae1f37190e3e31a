import { StatsD } from "hot-shots";
import type { Metrics } from "../metrics/mod.ts";

/**
 * Returns metrics that are sent to a StatsD server.
 *
 * @param address IP address and port of the server.
 * @param signal Closes the socket when aborted.
 */
export function createStatsdMetrics(
  address: string,
  signal: AbortSignal,
): Metrics {
  const at = address.lastIndexOf(":");
  const client = new StatsD({
    host: address.slice(0, at),
    port: Number(address.slice(at + 1)),
    prefix: "havenspur.",
    errorHandler: () => {},
    maxBufferSize: 1_200,
  });
  signal.addEventListener("abort", () => client.close(() => {}), {
    once: true,
  });
  return {
    count: (name, by = 1, tags = {}) => client.increment(name, by, { ...tags }),
    gauge: (name, value, tags = {}) => client.gauge(name, value, { ...tags }),
    time: (name, valueMs, tags = {}) =>
      client.timing(name, valueMs, { ...tags }),
  };
}
