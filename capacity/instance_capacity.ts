/** Resources that an instance may use, as its settings say. Each one may be unknown. */
export interface InstanceLimits {
  /** Processor time, in cores. */
  readonly cores?: number;
  /** Bandwidth of the link in each direction, in Mbit/s. */
  readonly linkMbps?: number;
  readonly memoryMb?: number;
  /** Maximum size of the JavaScript heap. */
  readonly heapMb?: number;
  readonly fileDescriptors?: number;
}

/**
 * Capacity of an instance as reported to others, in cores. An instance whose link is
 * narrower than its processor needs counts with the cores that the link can keep busy.
 */
export interface MemberCapacity {
  /** Capacity by the settings, which is constant while the instance runs. */
  readonly ratedCores: number;
  /** Capacity at present: smaller than the rated one while the instance is behind. */
  readonly currentCores: number;
}

/**
 * Bandwidth in each direction that one core's calls need, in Mbit/s. On the second
 * deployment of docs/design/rollouts_and_capacity.md, a call has 3,050 prompt tokens on
 * average, which are 12 KB, and 8 KB of events. Instances use 0.11 cores for 8 to 10 calls
 * per second, of which 0.025 are used without calls: about 10 ms a call.
 */
const LINK_MBPS_PER_CORE = 16;
/**
 * Steps of a rated capacity. Reports contain thousandths of a core: with any other value
 * an instance would rank itself differently than the others rank it.
 */
const MILLICORES_PER_CORE = 1_000;

/**
 * Returns the capacity that follows from an instance's limits, in cores rounded to
 * thousandths, or `undefined`
 * if neither its processor nor its link is known.
 *
 * @param limits Resources that the instance may use.
 */
export function computeRatedCores(
  { cores, linkMbps }: InstanceLimits,
): number | undefined {
  if (cores === undefined && linkMbps === undefined) return undefined;
  const exactCores = Math.min(
    cores ?? Number.POSITIVE_INFINITY,
    (linkMbps ?? Number.POSITIVE_INFINITY) / LINK_MBPS_PER_CORE,
  );
  const millicores = Math.max(1, Math.round(MILLICORES_PER_CORE * exactCores));
  return millicores / MILLICORES_PER_CORE;
}

/**
 * Returns the class of a capacity: instances of one class differ by less than a factor
 * of 2. Depends on the rated capacity only, so that an instance that is behind for a
 * while keeps its class.
 */
export function toCapacityClass({ ratedCores }: MemberCapacity): number {
  return Math.floor(Math.log2(ratedCores));
}

/**
 * Returns the present capacities of instances, or `undefined` if one of them is unknown
 * or if all have the same rated capacity. Instances are chosen without regard to
 * capacity then, as by versions that report none.
 *
 * @param members Instances, in any order.
 */
export function listCapacityWeights(
  members: readonly { readonly capacity?: MemberCapacity }[],
): readonly number[] | undefined {
  const known = members.flatMap(({ capacity }) => capacity ?? []);
  const isUsable = known.length === members.length &&
    known.some(({ ratedCores }) => ratedCores !== known[0]!.ratedCores);
  return isUsable ? known.map(({ currentCores }) => currentCores) : undefined;
}
