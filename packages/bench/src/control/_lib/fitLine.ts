/** A least-squares line with the standard error of a prediction. */
export interface FittedLine {
  readonly slope: number;
  readonly intercept: number;
  predict(x: number): { readonly value: number; readonly error: number };
}

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

/**
 * Fits a line by least squares.
 *
 * @param points - at least three points
 * @returns the line; `error` is the standard error of a single prediction
 */
export default function fitLine(points: readonly { readonly x: number; readonly y: number }[]): FittedLine {
  const count = points.length;
  const meanX = sum(points.map(({ x }) => x)) / count;
  const meanY = sum(points.map(({ y }) => y)) / count;
  const spread = sum(points.map(({ x }) => (x - meanX) ** 2));
  const slope = sum(points.map(({ x, y }) => (x - meanX) * (y - meanY))) / spread;
  const intercept = meanY - slope * meanX;
  const residual = Math.sqrt(sum(points.map(({ x, y }) => (y - intercept - slope * x) ** 2)) / Math.max(1, count - 2));
  return {
    slope,
    intercept,
    predict: (x) => ({
      value: intercept + slope * x,
      error: residual * Math.sqrt(1 + 1 / count + (x - meanX) ** 2 / spread),
    }),
  };
}
