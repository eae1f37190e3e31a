import { Command } from "commander";
import { readFileSync } from "node:fs";
import { LogWriter } from "../adapters/log_writer.ts";
import { handleProcessErrors } from "../adapters/process_errors.ts";
import type { SignalInbox } from "../adapters/signal_inbox.ts";
import {
  formatProblem,
  parseSettings,
  type Settings,
  SETTINGS_SCHEMA,
} from "../settings/mod.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import { startDaemon } from "./start_daemon.ts";

interface Options {
  readonly settings: string;
  readonly checkSettings: boolean;
}

/**
 * Runs `havenspurd` with the arguments of the process.
 *
 * @param signals Signals of the process, also those that arrived before.
 */
export async function runDaemon(signals: SignalInbox): Promise<void> {
  const options = parseOptions();
  const settings = readSettings(options.settings);
  if (options.checkSettings) {
    console.log(`${options.settings}: ok`);
    process.exit(EXIT_CODES.OK);
  }
  const writer = new LogWriter(1);
  const exit = async (code: number) => {
    await writer.close();
    process.exit(code);
  };
  if (await signals.isStopPending()) return await exit(EXIT_CODES.OK);
  const daemon = await startDaemon(settings, {
    writeLog: (line, level) => writer.write(line, level),
  });
  let isLeaving = false;
  const leave = async (exitCode: number) => {
    if (isLeaving) return;
    isLeaving = true;
    // A shutdown that fails must not keep the process, which serves nothing any more.
    await daemon.shutDown().catch(({ message: reason }: Error) =>
      daemon.logger.error("shutdown failed", { reason })
    );
    await exit(exitCode);
  };
  handleProcessErrors({
    ...daemon,
    leave: () => void leave(EXIT_CODES.FAILED),
  });
  signals.deliverTo((signal) => {
    switch (signal) {
      case "SIGHUP":
        daemon.reloadTls();
        break;
      case "SIGINT":
      case "SIGTERM":
        void leave(EXIT_CODES.OK);
        break;
    }
  });
}

function parseOptions(): Options {
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
Exit codes: 0 ended, 2 wrong settings, 7 failed`,
    );
  program.exitOverride((error) => {
    process.exit(error.exitCode === 0 ? EXIT_CODES.OK : EXIT_CODES.USAGE);
  });
  return program.parse().opts<Options>();
}

function readSettings(path: string): Settings {
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
