import { pickRandom, type Random } from "../clock/mod.ts";
import {
  listCapacityWeights,
  type MemberCapacity,
} from "./instance_capacity.ts";

/**
 * Returns one instance, picked at random in proportion to the present capacities, or
 * uniformly if these are unknown or alike.
 *
 * @param members Instances to pick from.
 * @param random Source of random numbers.
 */
export function pickByCapacity<
  Member extends { readonly capacity?: MemberCapacity },
>(members: readonly Member[], random: Random): Member | undefined {
  const weights = listCapacityWeights(members);
  if (weights === undefined) return pickRandom(members, random);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let rest = random.nextFloat() * total;
  const index = weights.findIndex((weight) => (rest -= weight) < 0);
  // Rounding may leave a rest behind the last instance.
  return members.at(index);
}
