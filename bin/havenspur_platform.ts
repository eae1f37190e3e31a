#!/usr/bin/env node
import { EARLY_SIGNALS } from "./early_signals.ts";
import { checkSettings, runInstance } from "../platform/run_instance.ts";
import { EXIT_CODES } from "./exit_codes.ts";

// For two arguments, loading an argument parser would only slow down the start on a small machine.
const [option, path] = process.argv.slice(2);
if (option === "--check-settings") {
  process.exitCode = checkSettings(path) ? EXIT_CODES.OK : EXIT_CODES.USAGE;
} else if (option !== undefined) {
  console.error("Usage: havenspur_platform [--check-settings [FILE]]");
  process.exitCode = EXIT_CODES.USAGE;
} else void runInstance(EARLY_SIGNALS);
