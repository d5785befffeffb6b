/** What the length of an answer is estimated from. */
export interface LengthFacts {
  readonly operation: string;
  readonly organisation: string;
  readonly inputTokens: number;
  /** Estimate of the service document, used until answers were seen. */
  readonly expectedOutputTokens: number;
}

/** Learnt length of the answers to one kind of request. */
export interface LengthHistory {
  readonly meanTokens: number;
  readonly meanInputTokens: number;
  readonly count: number;
}
