/** Sums of amounts, grouped by value. */
export interface ValueSums {
  /** Adds an amount of the given value; a negative amount removes it. */
  add(value: number, amount: number): void;
  /** Returns the sum of the amounts of at least a value. Amounts up to a tenth below it may be included. */
  atLeast(value: number): number;
  readonly isEmpty: boolean;
}

/** Logarithm of the ratio between the lower bounds of adjacent buckets. */
const LOG_BUCKET_RATIO = Math.log(1.1);
/** Smaller values share one bucket. */
const MIN_VALUE = 1e-6;

const bucketOf = (value: number): number => Math.floor(Math.log(Math.max(MIN_VALUE, value)) / LOG_BUCKET_RATIO);

/**
 * Creates sums in logarithmic value buckets, so that the cost of a read does not depend on the number of amounts.
 *
 * @returns the sums
 */
export default function createValueSums(): ValueSums {
  const sumsByBucket = new Map<number, number>();
  return {
    add: (value, amount) => {
      const bucket = bucketOf(value);
      const sum = (sumsByBucket.get(bucket) ?? 0) + amount;
      if (sum === 0) {
        sumsByBucket.delete(bucket);
      } else {
        sumsByBucket.set(bucket, sum);
      }
    },
    atLeast: (value) => {
      const minBucket = value <= 0 ? -Infinity : bucketOf(value);
      let sum = 0;
      sumsByBucket.forEach((amount, bucket) => {
        sum += bucket >= minBucket ? amount : 0;
      });
      return sum;
    },
    get isEmpty() {
      return sumsByBucket.size === 0;
    },
  };
}
