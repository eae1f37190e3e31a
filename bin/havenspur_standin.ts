#!/usr/bin/env node
import { Command } from "commander";
import { EXIT_CODES } from "./exit_codes.ts";
import { startStandins } from "./start_deployment.ts";

const program = new Command("havenspur-standin")
  .description(
    "Runs stand-ins for the platform, the engines and the plain services, on loopback.",
  )
  .version("0.1.0")
  .argument("<file>", "TOML file that describes them")
  .showHelpAfterError()
  .addHelpText(
    "after",
    `
Example:
  havenspur-standin examples/torra-nordeste/standins.toml

Set faults while the stand-ins run: POST /control/faults at the platform, an engine or
a plain server, for example {"isDown":true}, {"acceptThenDie":true}, {"loseAnswers":1}.`,
  );
program.exitOverride((error) => {
  process.exit(error.exitCode === 0 ? EXIT_CODES.OK : EXIT_CODES.USAGE);
});
program.parse();

const standins = await startStandins(program.args[0]!, true);
console.log(`platform ${standins.platform.url}`);
standins.engines.forEach((engine, name) =>
  console.log(`engine ${name} ${engine.url}`)
);
standins.plainServers.forEach((server, name) =>
  console.log(`plain server ${name} ${server.url}`)
);
const stop = () => void standins.stop().then(() => process.exit(EXIT_CODES.OK));
process.on("SIGTERM", stop);
process.on("SIGINT", stop);
