/** Options of the command line that reach a bench scenario. */
export interface BenchOptions {
  readonly seeds: readonly number[];
  /** Names of the policies to run; empty for the default of the scenario. */
  readonly policies: readonly string[];
  readonly deployments: readonly string[];
  /** File for the report, if one is wanted. */
  readonly reportFile?: string;
}

/** Result of a bench scenario. */
export interface BenchResult {
  /** Text for the terminal. */
  readonly table: string;
  /** Figures for `--json`. */
  readonly json: unknown;
}

/** A scenario of the bench: a module with this function as default export. */
export type BenchRun = (options: BenchOptions) => Promise<BenchResult>;

/** One entry of the registry. */
export interface BenchScenario {
  readonly name: string;
  readonly text: string;
  readonly policies: readonly string[];
  readonly run: BenchRun;
}
