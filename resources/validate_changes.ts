import { err, ok, type Result } from "neverthrow";
import { createFailure, type Failure } from "../results/mod.ts";
import { type Catalog, readResources } from "./catalog.ts";
import {
  type ResourceChange,
  type ResourceKind,
  toResourceKey,
} from "./resource.ts";
import { RESOURCE_NAME, RESOURCE_SCHEMAS } from "./resource_schemas.ts";

/** A change of one resource that an operator requests. */
export interface RequestedChange {
  readonly kind: string;
  readonly name: string;
  /** Declared state; `null` removes the resource. */
  readonly spec: unknown;
  /**
   * Version that the operator expects to be in force; 0 if the resource must not exist
   * yet. Default: any version.
   */
  readonly version?: number;
}

type Referrer = {
  readonly kind: ResourceKind;
  readonly name: string;
  readonly spec: unknown;
};
type Reference = {
  readonly kinds: readonly ResourceKind[];
  readonly name: string;
};

/**
 * Checks an operator's changes against the catalog in force: their schemas, their
 * versions, and the references that hold after all changes together.
 *
 * @param catalog Catalog in force.
 * @param requested Changes that the operator requests.
 * @returns The changes with all defaults filled in, or why they were refused.
 */
export function validateChanges(
  catalog: Catalog,
  requested: readonly RequestedChange[],
): Result<readonly ResourceChange[], Failure> {
  if (requested.length === 0) {
    return err(
      createFailure("INVALID_RESOURCE", "Cannot apply changes: got none"),
    );
  }
  const changes: ResourceChange[] = [];
  for (const request of requested) {
    const checked = parseChange(request).andThen((change) =>
      checkVersion(catalog, change, request.version)
    );
    if (checked.isErr()) return err(checked.error);
    changes.push(checked.value);
  }
  return checkReferences(catalog, changes);
}

function parseChange(
  request: RequestedChange,
): Result<ResourceChange, Failure> {
  if (!Object.hasOwn(RESOURCE_SCHEMAS, request.kind)) {
    const kinds = Object.keys(RESOURCE_SCHEMAS).join(", ");
    const message = `Cannot apply "${request.kind}": wanted a kind of ${kinds}`;
    return err(createFailure("INVALID_RESOURCE", message));
  }
  const kind = request.kind as ResourceKind;
  if (!RESOURCE_NAME.safeParse(request.name).success) {
    const message =
      `Cannot apply ${kind}: name must be lower-case letters, digits, "." or "-",` +
      ` got "${String(request.name).slice(0, 80)}"`;
    return err(createFailure("INVALID_RESOURCE", message));
  }
  const name = request.name;
  if (request.spec === null) return ok({ kind, name, spec: null });
  const parsed = RESOURCE_SCHEMAS[kind].safeParse(request.spec);
  if (parsed.success) return ok({ kind, name, spec: parsed.data });
  const issues = parsed.error.issues.map(({ path, message }) =>
    `${["spec", ...path].join(".")}: ${message}`
  );
  const message = `Cannot apply ${kind}/${name}: ${issues.join("; ")}`;
  return err(
    createFailure("INVALID_RESOURCE", message, { details: { issues } }),
  );
}

function checkVersion(
  catalog: Catalog,
  change: ResourceChange,
  version: number | undefined,
): Result<ResourceChange, Failure> {
  const key = toResourceKey(change.kind, change.name);
  const inForce = catalog.resources.get(key)?.version ?? 0;
  if (change.spec === null && inForce === 0) {
    return err(
      createFailure("NOT_FOUND", `Cannot delete ${key}: it does not exist`),
    );
  }
  if (version === undefined || version === inForce) return ok(change);
  const operator = catalog.operators.get(key);
  const message =
    `Cannot change ${key}: wanted version ${version}, got ${inForce}` +
    (operator === undefined ? "" : `, set by ${operator}`);
  return err(
    createFailure("CONFLICT", message, {
      details: { key, version: inForce, operator },
    }),
  );
}

function checkReferences(
  catalog: Catalog,
  changes: readonly ResourceChange[],
): Result<readonly ResourceChange[], Failure> {
  const resourcesAfter = new Map<string, Referrer>(catalog.resources);
  changes.forEach((change) => {
    const key = toResourceKey(change.kind, change.name);
    if (change.spec === null) resourcesAfter.delete(key);
    else resourcesAfter.set(key, change);
  });
  const isRemoving = changes.some((change) => change.spec === null);
  const referrers: Iterable<Referrer> = isRemoving
    ? resourcesAfter.values()
    : changes.filter((change) => change.spec !== null);
  for (const referrer of referrers) {
    const missing = readReferences(referrer).find(({ kinds, name }) =>
      !kinds.some((kind) => resourcesAfter.has(toResourceKey(kind, name)))
    );
    if (missing === undefined) continue;
    const message =
      `Cannot apply: ${referrer.kind}/${referrer.name} refers to ` +
      `${missing.kinds.join(" or ")} "${missing.name}", which does not exist`;
    return err(createFailure("INVALID_RESOURCE", message));
  }
  return ok(changes);
}

function readReferences({ kind, spec }: Referrer): readonly Reference[] {
  const fields = spec as Readonly<Record<string, unknown>>;
  const toOne = (field: string, ...kinds: ResourceKind[]): Reference[] => {
    const name = fields[field];
    return typeof name === "string" ? [{ kinds, name }] : [];
  };
  const toMany = (field: string, ...kinds: ResourceKind[]): Reference[] =>
    ((fields[field] ?? []) as string[]).filter((name) => name !== "*")
      .map((name) => ({ kinds, name }));
  switch (kind) {
    case "service":
      return [
        ...toOne("model", "model"),
        ...toOne("residency", "residency"),
        ...toMany("adapters", "adapter"),
      ];
    case "plain-service":
      return toOne("residency", "residency");
    case "adapter":
    case "version":
      return toOne("model", "model");
    case "placement":
      return [...toOne("service", "service"), ...toOne("version", "version")];
    case "team":
      return [
        ...toMany("services", "service", "plain-service"),
        ...toOne("residency", "residency"),
      ];
    case "engine":
      return toOne("service", "service");
    case "plain-server":
      return toOne("service", "plain-service");
    case "http-route":
      return [
        ...toOne("residency", "residency"),
        ...((fields.services ?? []) as readonly { readonly service: string }[])
          .map(({ service }) => ({
            kinds: ["plain-service"] as const,
            name: service,
          })),
      ];
    case "model":
    case "residency":
      return [];
  }
}

/** Returns the names of all regions that have a backend server, sorted. */
export function readRegions(catalog: Catalog): readonly string[] {
  const regions = [
    ...readResources(catalog, "engine"),
    ...readResources(catalog, "plain-server"),
  ].map((resource) => resource.spec.region);
  return [...new Set(regions)].sort();
}
