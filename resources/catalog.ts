import { err, ok, type Result } from "neverthrow";
import {
  type ConfigurationEntry,
  type Resource,
  type ResourceKind,
  toResourceKey,
} from "./resource.ts";
import type { ResourceSpecs } from "./resource_schemas.ts";

/** All resources in force after one change; immutable. */
export interface Catalog {
  /** Sequence number of the last change in the catalog; 0 if there is none. */
  readonly sequence: number;
  readonly resources: ReadonlyMap<string, Resource>;
  /** Operator who last changed each resource, for the message about a conflict. */
  readonly operators: ReadonlyMap<string, string>;
}

/** The catalog before any change. */
export const EMPTY_CATALOG: Catalog = {
  sequence: 0,
  resources: new Map(),
  operators: new Map(),
};

/** Why an entry was not applied. */
export type ApplyRefusal =
  /** The entry is not newer than what is in force. */
  | { readonly kind: "stale"; readonly inForce: number }
  /** Entries before this one are missing. */
  | { readonly kind: "gap"; readonly next: number };

/**
 * Returns the catalog with one more entry applied. This is the only place at which
 * a change comes into force: entries apply in order, without gaps, and never twice.
 *
 * @param catalog Catalog in force.
 * @param entry The next entry.
 */
export function applyEntry(
  catalog: Catalog,
  entry: ConfigurationEntry,
): Result<Catalog, ApplyRefusal> {
  const order = compareSequence(catalog.sequence, entry.sequence);
  if (order.kind !== "next") return err(order);
  const resources = new Map(catalog.resources);
  const operators = new Map(catalog.operators);
  entry.changes.forEach(({ kind, name, spec }) => {
    const key = toResourceKey(kind, name);
    operators.set(key, entry.operator);
    if (spec === null) resources.delete(key);
    else {resources.set(
        key,
        { kind, name, spec, version: entry.sequence } as Resource,
      );}
  });
  return ok({ sequence: entry.sequence, resources, operators });
}

/**
 * Decides whether an entry directly follows what is in force.
 *
 * @param inForce Sequence number in force.
 * @param sequence Sequence number of the entry.
 */
export function compareSequence(
  inForce: number,
  sequence: number,
): { readonly kind: "next" } | ApplyRefusal {
  if (sequence <= inForce) return { kind: "stale", inForce };
  if (sequence > inForce + 1) return { kind: "gap", next: inForce + 1 };
  return { kind: "next" };
}

/** Returns a resource, or `undefined` if it is not in force. */
export function readResource<Kind extends ResourceKind>(
  catalog: Catalog,
  kind: Kind,
  name: string,
): Resource<Kind> | undefined {
  return catalog.resources.get(toResourceKey(kind, name)) as
    | Resource<Kind>
    | undefined;
}

/** Returns all resources of a kind, sorted by name. */
export function readResources<Kind extends ResourceKind>(
  catalog: Catalog,
  kind: Kind,
): readonly Resource<Kind>[] {
  return [...catalog.resources.values()]
    .filter((resource): resource is Resource<Kind> => resource.kind === kind)
    .sort((a, b) => (a.name < b.name ? -1 : 1));
}

/** The declared state of one kind. */
export type SpecOf<Kind extends ResourceKind> = ResourceSpecs[Kind];
