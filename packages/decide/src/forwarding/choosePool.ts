/** A pool with its share of the requests of a route. */
export interface PoolShare {
  readonly pool: string;
  readonly weight: number;
}

/**
 * Chooses a pool with a chance in proportion to its weight.
 *
 * @param shares - pools of a route
 * @param random - number from 0 up to 1
 * @returns name of the pool, or undefined when there is none
 * @example
 * choosePool([{ pool: 'a', weight: 1 }, { pool: 'b', weight: 3 }], 0.5); // 'b'
 */
export default function choosePool(shares: readonly PoolShare[], random: number): string | undefined {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  let rest = random * total;
  const chosen = shares.find(({ weight }) => {
    rest -= weight;
    return rest < 0;
  });
  return (chosen ?? shares.at(-1))?.pool;
}
