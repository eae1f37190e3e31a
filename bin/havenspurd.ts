#!/usr/bin/env node
import { Command } from "commander";
import { readFileSync } from "node:fs";
import {
  formatProblem,
  parseSettings,
  SETTINGS_SCHEMA,
} from "../settings/mod.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import { startDaemon } from "./start_daemon.ts";

const program = new Command("havenspurd")
  .description("Runs one daemon of havenspur.")
  .version("0.1.0")
  .requiredOption("--settings <file>", "settings file in TOML")
  .option("--check-settings", "check the settings and exit", false)
  .showHelpAfterError()
  .addHelpText(
    "after",
    `
Examples:
  havenspurd --settings examples/torra-nordeste/daemons/recife-a-i1.toml
  havenspurd --settings daemon.toml --check-settings

Signals: SIGTERM and SIGINT shut down gracefully, SIGHUP reloads the certificates.
Exit codes: 0 ended, 2 wrong settings`,
  );
program.exitOverride((error) => {
  process.exit(error.exitCode === 0 ? EXIT_CODES.OK : EXIT_CODES.USAGE);
});
program.parse();
const options = program.opts<
  { readonly settings: string; readonly checkSettings: boolean }
>();

const settings = readSettings(options.settings);
if (options.checkSettings) {
  console.log(`${options.settings}: ok`);
  process.exit(EXIT_CODES.OK);
}
const daemon = await startDaemon(settings);
let isShuttingDown = false;
const shutDown = async () => {
  if (isShuttingDown) return;
  isShuttingDown = true;
  await daemon.shutDown();
  process.exit(EXIT_CODES.OK);
};
process.on("SIGTERM", () => void shutDown());
process.on("SIGINT", () => void shutDown());
process.on("SIGHUP", () => daemon.reloadTls());

function readSettings(path: string) {
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch (error) {
    console.error(`Cannot read ${path}: ${(error as Error).message}`);
    process.exit(EXIT_CODES.USAGE);
  }
  const parsed = parseSettings(text, SETTINGS_SCHEMA);
  if (parsed.isOk()) return parsed.value;
  parsed.error.forEach((problem) =>
    console.error(formatProblem(path, problem))
  );
  process.exit(EXIT_CODES.USAGE);
}
