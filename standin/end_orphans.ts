/**
 * Kills processes whose parent process has exited. Reads lines `started PID` and
 * `ended PID` from standard input; when the input closes, kills each process that
 * was started and has not ended, by its id.
 *
 * @module
 */
import { createInterface } from "node:readline";

const running = new Set<number>();

// A signal that ends the parent process must not end this one before it has killed the others.
(["SIGINT", "SIGTERM", "SIGHUP"] as const).forEach((name) =>
  process.on(name, () => {})
);

const lines = createInterface({ input: process.stdin });
lines.on("line", (line) => {
  const [event, id] = line.split(" ");
  const pid = Number(id);
  if (event === "started") running.add(pid);
  else running.delete(pid);
});
lines.on("close", () => {
  running.forEach((pid) => {
    try {
      process.kill(pid, "SIGKILL");
    } catch {
      // The process has already ended.
    }
  });
  process.exit(0);
});
