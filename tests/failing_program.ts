/**
 * Program whose timers fail: a series four times, and then code that runs once. Prints
 * what the log gets. For the tests of `handleProcessErrors()`.
 *
 * @module
 */
import { handleProcessErrors } from "../adapters/process_errors.ts";
import { systemClock } from "../adapters/system_clock.ts";
import { scheduleEvery } from "../clock/mod.ts";
import { createLogger } from "../logs/mod.ts";
import { NO_METRICS } from "../metrics/mod.ts";

const FAILURES = 4;
const EXIT_CODE = 7;

handleProcessErrors({
  logger: createLogger({
    clock: systemClock,
    fields: {},
    level: "info",
    write: (line) => console.log(line),
  }),
  metrics: NO_METRICS,
  leave: () => {
    console.log("leaves");
    setTimeout(() => process.exit(EXIT_CODE), 20);
  },
});

let failures = 0;
const stopped = new AbortController();
scheduleEvery(systemClock, 5, () => {
  failures++;
  if (failures < FAILURES) throw new Error("a series that fails");
  stopped.abort("done");
  setTimeout(() => {
    throw new Error("code that is interrupted");
  }, 5);
  setTimeout(() => {
    throw new Error("code that is interrupted again");
  }, 10);
}, stopped.signal);
