import { createHash } from 'node:crypto';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/**
 * Creates the seeded random number generator of one run.
 *
 * @param seed - seed of the run
 * @param name - name of the cell, so that cells of one seed differ
 * @returns function that returns uniform numbers in [0, 1)
 */
export default function createRandom(seed: number, name: string): () => number {
  const hash = createHash('sha256').update(`${seed}/${name}`).digest().readInt32LE(0);
  const generator = xoroshiro128plus(hash);
  return () => uniformFloat64(generator);
}
