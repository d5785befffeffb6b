/** Something in a route table that cannot work or contradicts itself. */
export interface RouteFinding {
  /** An error is an entry that is wrong or never takes effect; a warning may be meant. */
  readonly severity: 'error' | 'warning';
  /** Entry that is meant, for instance `route read`; no keys of organisations. */
  readonly entry: string;
  readonly message: string;
}
