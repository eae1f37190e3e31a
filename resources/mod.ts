/**
 * The resources that operators declare, their schemas, and the catalog of the
 * resources in force.
 *
 * @example
 * ```ts
 * import { EMPTY_CATALOG, validateChanges } from "./resources/mod.ts";
 * validateChanges(EMPTY_CATALOG, [{ kind: "model", name: "m", spec: {} }]).isOk(); // true
 * ```
 * @module
 */
export * from "./catalog.ts";
export * from "./catalog_view.ts";
export * from "./group_by.ts";
export * from "./resource.ts";
export * from "./resource_schemas.ts";
export * from "./validate_changes.ts";
