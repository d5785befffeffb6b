/** A pool of a route with its weight. */
export interface PoolShare {
  readonly pool: string;
  readonly weight: number;
}

/**
 * Chooses a pool at random, with a probability in proportion to its weight.
 *
 * @param shares - pools of a route
 * @param random - random number in [0, 1)
 * @returns name of the pool, or undefined when there are no pools
 * @example
 * choosePool([{ pool: 'a', weight: 1 }, { pool: 'b', weight: 3 }], 0.5); // 'b'
 */
export default function choosePool(shares: readonly PoolShare[], random: number): string | undefined {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random * total;
  const chosen = shares.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  return (chosen ?? shares.at(-1))?.pool;
}
