/** How far a placement is, for operators. */
export interface PlacementStatus {
  readonly service: string;
  readonly wanted: number;
  readonly serving: number;
  readonly loading: number;
  /** Why it is not complete; empty if it is. */
  readonly reason: string;
}
