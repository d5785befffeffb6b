import type { Figure } from '../types.js';

const MEDIAN = 0.5;
const TAIL = 0.99;

/** Value at a quantile of a sorted list. */
export const quantile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN;

/** Median, 99th percentile and worst value. */
export default function summarise(name: string, values: readonly number[], unit: string): readonly Figure[] {
  const sorted = [...values].sort((a, b) => a - b);
  return [
    { name: `${name}, p50`, value: quantile(sorted, MEDIAN), unit },
    { name: `${name}, p99`, value: quantile(sorted, TAIL), unit },
    { name: `${name}, worst`, value: sorted.at(-1) ?? Number.NaN, unit },
    { name: `${name}, samples`, value: sorted.length, unit: '1' },
  ];
}
