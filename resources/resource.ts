import type { ResourceSpecs } from "./resource_schemas.ts";

/** Every kind of resource. */
export type ResourceKind = keyof ResourceSpecs;

/** One declared resource of a kind. */
export interface Resource<Kind extends ResourceKind = ResourceKind> {
  readonly kind: Kind;
  readonly name: string;
  readonly spec: ResourceSpecs[Kind];
  /** Sequence number of the change that set it. */
  readonly version: number;
}

/** One resource set or removed by a change. */
export interface ResourceChange {
  readonly kind: ResourceKind;
  readonly name: string;
  /** The declared state; `null` removes the resource. */
  readonly spec: unknown;
}

/** An accepted change with its audit trail; the unit in which configuration travels. */
export interface ConfigurationEntry {
  /** Position in the total order of changes, from 1 without gaps. */
  readonly sequence: number;
  /** Unique for ever; lets a writer recognise its own write. */
  readonly changeId: string;
  /** When it was accepted, in milliseconds since the epoch. */
  readonly acceptedMs: number;
  /** Who asked for it. */
  readonly operator: string;
  /** Instance that accepted it. */
  readonly instance: string;
  /** All resources that it sets or removes, in force together or not at all. */
  readonly changes: readonly ResourceChange[];
}

/** Returns the key under which a catalog holds a resource. */
export function toResourceKey(kind: ResourceKind, name: string): string {
  return `${kind}/${name}`;
}
