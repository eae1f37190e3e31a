/** Progress of a placement, for operators. */
export interface PlacementStatus {
  /** Name of the service that is placed. */
  readonly service: string;
  /** Number of engines that should serve it. */
  readonly wanted: number;
  /** Number of engines that serve it. */
  readonly serving: number;
  /** Number of engines that are loading it. */
  readonly loading: number;
  /** Why the placement is not complete; empty if it is. */
  readonly reason: string;
}
