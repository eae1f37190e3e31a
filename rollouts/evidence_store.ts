import {
  addOutcome,
  createRow,
  type RouteBaseline,
  sumRows,
  toRowKey,
} from "./evidence.ts";
import type {
  EvidenceRow,
  EvidenceSubject,
  ResponseOutcome,
  RolloutReportOrigin,
} from "./rollout_types.ts";

type Rows = Map<string, EvidenceRow>;

/**
 * Evidence of one order: what this instance counted, and what others reported.
 *
 * Counters are cumulative, so of two reports of the same source the one with more responses
 * is the later, in whatever order they arrive, and a lost report loses nothing. A restarted
 * instance is another source; the counters of its former incarnation stay until the order
 * ends. Sums of a region may come from two representatives that know different members: the
 * larger is kept, since the sum of both would count responses twice.
 */
export class EvidenceStore {
  readonly #own: Rows = new Map();
  /** Rows by incarnation of an instance of the local region. */
  readonly #instances = new Map<string, Rows>();
  /** Rows by remote region. */
  readonly #regions = new Map<string, Rows>();
  readonly #baselines = new Map<string, RouteBaseline>();
  #regionSums: readonly EvidenceRow[] | undefined;
  #sums: readonly EvidenceRow[] | undefined;

  /** Rows that this instance counted. */
  get ownRows(): readonly EvidenceRow[] {
    return [...this.#own.values()];
  }

  /** Rows of the local region. */
  get regionRows(): readonly EvidenceRow[] {
    this.#regionSums ??= sumRows(
      [this.#own, ...this.#instances.values()].flatMap((
        rows,
      ) => [...rows.values()]),
    );
    return this.#regionSums;
  }

  /** Rows of all regions. */
  get rows(): readonly EvidenceRow[] {
    if (this.#sums === undefined) {
      const remote = [...this.#regions.values()]
        .flatMap((rows) => [...rows.values()]);
      this.#sums = sumRows([...this.regionRows, ...remote]);
      this.#sums.filter(({ subject }) => subject === "in-force")
        .forEach((row) => this.#baselines.set(row.route, row));
    }
    return this.#sums;
  }

  /**
   * Counts a response of this instance.
   *
   * @param route Route of the call.
   * @param subject The versions in force, or a canary server.
   * @param outcome How the send ended.
   * @param isCold Whether the server was cold when the send began.
   */
  record(
    route: string,
    subject: EvidenceSubject,
    outcome: ResponseOutcome,
    isCold: boolean,
  ): void {
    const empty = createRow(route, subject);
    const key = toRowKey(empty);
    const row = this.#own.get(key) ?? empty;
    const baseline = this.#baselines.get(route);
    this.#own.set(key, addOutcome(row, outcome, baseline, isCold));
    this.#invalidate();
  }

  /** Merges reported rows; a summary holds none. */
  merge(from: RolloutReportOrigin, rows: readonly EvidenceRow[]): void {
    if (rows.length === 0 || from.scope === "summary") return;
    const isInstance = from.scope === "instance";
    const sources = isInstance ? this.#instances : this.#regions;
    const source = isInstance
      ? `${from.instance}\u0000${from.incarnation}`
      : from.region;
    const known: Rows = sources.get(source) ?? new Map();
    sources.set(source, known);
    rows.forEach((row) => {
      const key = toRowKey(row);
      if (row.responses > (known.get(key)?.responses ?? 0)) known.set(key, row);
    });
    this.#invalidate();
  }

  #invalidate(): void {
    this.#regionSums = undefined;
    this.#sums = undefined;
  }
}
