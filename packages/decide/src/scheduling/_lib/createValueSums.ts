/** Sums of amounts by the value that they belong to. */
export interface ValueSums {
  add(value: number, amount: number): void;
  /** Sum of the amounts of at least a value; those up to a tenth below it may be counted as well. */
  atLeast(value: number): number;
  readonly isEmpty: boolean;
}

/** Ratio of the values of neighbouring classes. */
const CLASS_RATIO = 1.1;
/** Values below this one share a class. */
const LEAST_VALUE = 1e-6;

const classOf = (value: number): number => Math.floor(Math.log(Math.max(LEAST_VALUE, value)) / Math.log(CLASS_RATIO));

/**
 * Creates sums by classes of values, so that reading them does not depend on how many amounts there are.
 *
 * @returns the sums
 */
export default function createValueSums(): ValueSums {
  const classes = new Map<number, number>();
  return {
    add: (value, amount) => {
      const index = classOf(value);
      const sum = (classes.get(index) ?? 0) + amount;
      if (sum === 0) {
        classes.delete(index);
      } else {
        classes.set(index, sum);
      }
    },
    atLeast: (value) => {
      const least = value <= 0 ? -Infinity : classOf(value);
      let sum = 0;
      classes.forEach((amount, index) => {
        sum += index >= least ? amount : 0;
      });
      return sum;
    },
    get isEmpty() {
      return classes.size === 0;
    },
  };
}
