/** Properties of a request that its answer length is estimated from. */
export interface LengthFacts {
  readonly operation: string;
  readonly organisation: string;
  readonly inputTokens: number;
  /** Estimate in the service document, used while there are no earlier answers. */
  readonly expectedOutputTokens: number;
}

/** Moving averages of the answer and input lengths of one operation, or of one operation for one organisation. */
export interface LengthHistory {
  readonly meanTokens: number;
  readonly meanInputTokens: number;
  /** Number of answers. */
  readonly count: number;
}
