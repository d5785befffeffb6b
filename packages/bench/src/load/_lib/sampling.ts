import type { Random } from '@bergamotcove/decide';

/** Draws an exponentially distributed value. */
export const drawExponential = (mean: number, random: Random): number => -mean * Math.log(1 - random());

/** Draws a log-normally distributed value with the given mean. */
export const drawLogNormal = (mean: number, sigma: number, random: Random): number => {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  const normal = radius * Math.cos(2 * Math.PI * random());
  return mean * Math.exp(sigma * normal - (sigma * sigma) / 2);
};

/** Draws an item in proportion to its share. */
export const drawShare = <Item extends { readonly share: number }>(items: readonly Item[], random: Random): Item => {
  const total = items.reduce((sum, item) => sum + item.share, 0);
  let left = random() * total;
  const found = items.find((item) => {
    left -= item.share;
    return left < 0;
  });
  return found ?? (items.at(-1) as Item);
};
