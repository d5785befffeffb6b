/** One measured figure. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
}

/** Figures of one measurement. */
export interface ControlReport {
  readonly measurement: string;
  readonly seed: number;
  readonly figures: readonly Figure[];
}

/** Options of a measurement. */
export interface MeasureOptions {
  readonly seed: number;
  /** Fewer sizes and shorter runs, for tests. */
  readonly quick: boolean;
}

/** Runs one measurement. */
export type Measure = (options: MeasureOptions) => Promise<ControlReport>;
