#!/usr/bin/env node
import { Command } from "commander";
import { fileURLToPath } from "node:url";
import { checkDeployment } from "./check_deployment.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import { OperatorClient } from "./operator_client.ts";
import { startDeployment } from "./start_deployment.ts";

const EXAMPLES = new URL("../../examples/", import.meta.url);
const OPERATOR_TOKEN = "operator-token-example";
const CALLER_TOKENS: Readonly<Record<string, string>> = {
  "torra-nordeste": "till-token-example-0001",
  "atlas-folia": "botanist-token-example-0001",
};
const MODELS: Readonly<Record<string, string>> = {
  "torra-nordeste": "barista-8b",
  "atlas-folia": "folia-7b",
};

const program = new Command("havenspur")
  .description(
    "Runs a whole deployment in one process, on loopback: stand-ins and nine daemons.",
  )
  .option(
    "--check",
    "check every part once, and exit with 0 or 1",
    false,
  )
  .option(
    "--deployment <name>",
    "torra-nordeste or atlas-folia",
    "torra-nordeste",
  )
  .showHelpAfterError();
program.parse();
const options = program.opts<
  { readonly check: boolean; readonly deployment: string }
>();
const token = CALLER_TOKENS[options.deployment];
const model = MODELS[options.deployment];
if (token === undefined || model === undefined) {
  console.error(
    `No deployment "${options.deployment}": wanted ${
      Object.keys(MODELS).join(" or ")
    }`,
  );
  process.exit(EXIT_CODES.USAGE);
}

const deployment = await startDeployment(
  fileURLToPath(new URL(options.deployment, EXAMPLES)),
);
if (options.check) {
  const problems = await checkDeployment(deployment, {
    operatorToken: OPERATOR_TOKEN,
    callerToken: token,
    model,
    report: (line) => console.log(line),
  });
  await deployment.stop();
  console.log(
    problems === 0 ? "check: passed" : `check: ${problems} steps failed`,
  );
  process.exit(problems === 0 ? 0 : 1);
}

const urls = deployment.daemons.map(({ record }) => record.callerUrl);
const operator = new OperatorClient({ servers: urls, token: OPERATOR_TOKEN });
const applied = await operator.call("POST", "/api/v1/changes", {
  changes: deployment.resources,
});
if (applied.isErr()) {
  console.error(applied.error.message);
  process.exit(EXIT_CODES.REFUSED);
}
const [entry] = urls;
const route = deployment.resources.find(({ kind }) => kind === "http-route");
console.log(`havenspur runs the deployment ${options.deployment} on loopback.

Entries:
${
  deployment.daemons.map(({ record }) =>
    `  ${record.callerUrl}  ${record.region}`
  ).join("\n")
}

Call a model and stream the answer:
  curl -N ${entry}/v1/chat/completions -H 'authorization: Bearer ${token}' \\
    -H 'content-type: application/json' \\
    -d '{"model":"${model}","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"hello"}]}'

Call a plain service as an HTTP route declares it, bytes unchanged:
  curl ${
  deployment.daemons[0]!.http?.url
}${route?.spec.pathPrefix}7 -H 'host: ${route?.spec.host}'

What to try next:
  export HAVENSPUR_SERVER=${entry} HAVENSPUR_TOKEN=${OPERATOR_TOKEN}
  node dist/bin/havenspurctl.js status
  node dist/bin/havenspurctl.js get engine
  node dist/bin/havenspurctl.js drain engine ${
  deployment.resources.find(({ kind }) => kind === "engine")?.name
}
  node dist/bin/havenspurctl.js audit

Press Ctrl-C to stop.`);
const stop = () =>
  void deployment.stop().then(() => process.exit(EXIT_CODES.OK));
process.on("SIGINT", stop);
process.on("SIGTERM", stop);
