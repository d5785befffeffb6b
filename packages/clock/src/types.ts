/** A pending timer; closing it prevents the callback. */
export interface Timer {
  close(): void;
}

/** Source of time for the whole system, in milliseconds. */
export interface Clock {
  /** Time since an arbitrary start; never steps backwards. */
  monotonicMs(): number;
  /** Time since the Unix epoch; may step when the host's clock is corrected. */
  wallMs(): number;
  /** Runs the callback once after the delay. */
  schedule(delayMs: number, run: () => void): Timer;
}
