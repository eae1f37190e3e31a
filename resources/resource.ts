import type { ResourceSpecs } from "./resource_schemas.ts";

/** Every kind of resource. */
export type ResourceKind = keyof ResourceSpecs;

/** One declared resource of a kind. */
export interface Resource<Kind extends ResourceKind = ResourceKind> {
  readonly kind: Kind;
  readonly name: string;
  readonly spec: ResourceSpecs[Kind];
  /** Sequence number of the change that set the resource. */
  readonly version: number;
}

/** One resource that a change sets or removes. */
export interface ResourceChange {
  readonly kind: ResourceKind;
  readonly name: string;
  /** The declared state; `null` removes the resource. */
  readonly spec: unknown;
}

/** An accepted change with its audit data: the unit in which configuration is stored and sent. */
export interface ConfigurationEntry {
  /** Position in the total order of changes, from 1 without gaps. */
  readonly sequence: number;
  /** Never used twice; lets a writer recognize its own write. */
  readonly changeId: string;
  /** Time of acceptance, in milliseconds since the epoch. */
  readonly acceptedMs: number;
  /** Operator who requested the change. */
  readonly operator: string;
  /** Instance that accepted the change. */
  readonly instance: string;
  /** All resources that the change sets or removes; they come into force together or not at all. */
  readonly changes: readonly ResourceChange[];
}

/** Returns the key under which a catalog holds a resource. */
export function toResourceKey(kind: ResourceKind, name: string): string {
  return `${kind}/${name}`;
}
