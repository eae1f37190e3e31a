import {
  CONFIGURATION_MUTANTS,
  CONFIGURATION_SPEC,
} from "./configuration_spec.ts";
import { explore, type Violation } from "./explore.ts";
import { JOURNAL_MUTANTS, JOURNAL_SPEC } from "./journal_spec.ts";
import { KEY_MUTANTS, KEY_SPEC } from "./key_spec.ts";
import { FENCED_SPEC, LEASE_MUTANTS, UNFENCED_SPEC } from "./lease_spec.ts";
import {
  RESTORED_STORE_MUTANTS,
  RESTORED_STORE_SPEC,
} from "./restored_store_spec.ts";
import { ROLLOUT_MUTANTS, ROLLOUT_SPECS } from "./rollout_spec.ts";
import { SERVER_MUTANTS, SERVER_SPEC } from "./server_spec.ts";
import type { Mutant, Specification } from "./specification.ts";
import { STATE_MUTANTS, STATE_SPECS } from "./state_spec.ts";

// deno-lint-ignore no-explicit-any
const SPECIFICATIONS: readonly Specification<any>[] = [
  JOURNAL_SPEC,
  CONFIGURATION_SPEC,
  FENCED_SPEC,
  UNFENCED_SPEC,
  ...STATE_SPECS,
  RESTORED_STORE_SPEC,
  SERVER_SPEC,
  KEY_SPEC,
  ...ROLLOUT_SPECS,
];
const MUTANTS: readonly Mutant[] = [
  ...JOURNAL_MUTANTS,
  ...CONFIGURATION_MUTANTS,
  ...LEASE_MUTANTS,
  ...STATE_MUTANTS,
  ...RESTORED_STORE_MUTANTS,
  ...SERVER_MUTANTS,
  ...KEY_MUTANTS,
  ...ROLLOUT_MUTANTS,
];

const failureCount = process.argv.includes("--mutants")
  ? checkMutants()
  : checkSpecifications();
process.exit(failureCount === 0 ? 0 : 1);

function checkSpecifications(): number {
  const results = SPECIFICATIONS.map((specification) => {
    const { stateCount, violation } = explore(specification);
    console.log(`${specification.name}: ${stateCount} states`);
    specification.invariants.forEach(({ text }) => {
      console.log(
        `  ${violation?.invariant === text ? "BROKEN" : "holds"}: ${text}`,
      );
    });
    if (violation !== undefined) printTrace(violation);
    return violation;
  });
  return results.filter((violation) => violation !== undefined).length;
}

function checkMutants(): number {
  const missed = MUTANTS.filter(({ name, specification }) => {
    const { stateCount, violation } = explore(specification);
    const outcome = violation === undefined ? "MISSED" : "caught";
    console.log(
      `${specification.name}, "${name}": ${outcome} in ${stateCount} states`,
    );
    if (violation !== undefined) printTrace(violation);
    return violation === undefined;
  });
  console.log(
    `${MUTANTS.length - missed.length} of ${MUTANTS.length} mutants caught`,
  );
  return missed.length;
}

function printTrace({ invariant, trace }: Violation): void {
  console.log(`  broken: ${invariant}`);
  console.log(`  trace: ${trace.join(" ")}`);
}
