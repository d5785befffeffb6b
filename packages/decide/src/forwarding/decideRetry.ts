import { exhaustive } from '@bergamotcove/errors';

/** How an attempt on a backend server ended. */
export type AttemptEnd =
  /** A complete answer arrived. */
  | { readonly type: 'answered'; readonly status: number }
  /** It is certain that the server did not and will not run the request. */
  | { readonly type: 'not-run' }
  /** The server may have run it, and there is no answer. */
  | { readonly type: 'unknown' };

/** Inputs of the decision whether a request is sent again. */
export interface RetryFacts {
  readonly end: AttemptEnd;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Number of attempts that ran or may have run, this one included. */
  readonly runs: number;
  /** Number of all attempts so far. */
  readonly sends: number;
  /** Maximum number of attempts that run or may have run. */
  readonly maxAttempts: number;
  /** Time left until the deadline. */
  readonly remainingMs: number;
  /** Time that an attempt usually takes. */
  readonly usualMs: number;
}

/** What follows an attempt. */
export type RetryDecision =
  | 'send-again'
  /** The caller gets the server's answer. */
  | 'pass-on'
  /** The caller gets an answer that this host creates. */
  | 'give-up';

const FIRST_SERVER_ERROR = 500;

/** Number of attempts beyond the limit of the route, which are possible when servers did not run earlier ones. */
const MAX_EXTRA_SENDS = 2;

const hasTime = ({ remainingMs, usualMs }: RetryFacts): boolean => remainingMs > usualMs;

/**
 * Decides what follows an attempt. An attempt that its server did not run does not count against the route's limit.
 *
 * @param facts - the end of the attempt, and the attempts and the time that are left
 * @returns the decision
 * @example
 * decideRetry({ end: { type: 'not-run' }, repeatable: false, runs: 0, sends: 1, maxAttempts: 1, remainingMs: 500, usualMs: 20 });
 */
export default function decideRetry(facts: RetryFacts): RetryDecision {
  const { end, repeatable, runs, sends, maxAttempts } = facts;
  const mayRunAgain = (repeatable || runs === 0) && runs < maxAttempts && sends < maxAttempts + MAX_EXTRA_SENDS;
  switch (end.type) {
    case 'answered':
      return end.status >= FIRST_SERVER_ERROR && mayRunAgain && hasTime(facts) ? 'send-again' : 'pass-on';
    case 'not-run':
    case 'unknown':
      return mayRunAgain && hasTime(facts) ? 'send-again' : 'give-up';
    default:
      return exhaustive(end);
  }
}
