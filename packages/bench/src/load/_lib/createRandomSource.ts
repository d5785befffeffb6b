import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Random } from '@bergamotcove/decide';

/** Spreads neighbouring stream numbers over the seeds of the generator. */
const STREAM_STEP = 0x9e3779b1;

/** Creates a seeded source of uniform numbers; each stream of a seed is independent of the others. */
export default function createRandomSource(seed: number, stream: number): Random {
  const generator = xoroshiro128plus(Math.imul(seed + 1, STREAM_STEP) + stream * 7919);
  return () => uniformFloat64(generator);
}
