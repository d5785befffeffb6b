import { exhaustive } from '@bergamotcove/errors';

/** How an attempt on a backend server ended. */
export type AttemptEnd =
  /** A whole answer arrived. */
  | { readonly type: 'answered'; readonly status: number }
  /** It is certain that the server did not and will not run the request. */
  | { readonly type: 'not-run' }
  /** The server may have run it, and there is no answer. */
  | { readonly type: 'unknown' };

/** Facts that decide whether a request is sent again. */
export interface RetryFacts {
  readonly end: AttemptEnd;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Attempts that ran or may have run, this one included. */
  readonly runs: number;
  /** All attempts so far. */
  readonly sends: number;
  readonly maxAttempts: number;
  readonly remainingMs: number;
  /** Usual time of an attempt. */
  readonly usualMs: number;
}

/** What to do after an attempt. */
export type RetryDecision =
  | 'send-again'
  /** The server's answer is passed on. */
  | 'pass-on'
  /** The caller gets an answer of this host's own. */
  | 'give-up';

const FIRST_SERVER_ERROR = 500;

/** Attempts that no server ran may exceed the limit of the route by this number. */
const EXTRA_SENDS = 2;

const hasTime = ({ remainingMs, usualMs }: RetryFacts): boolean => remainingMs > usualMs;

/**
 * Decides what follows an attempt. An attempt that no server ran does not count against the route's limit of servers.
 *
 * @param facts - the attempt and what is left
 * @returns the decision
 * @example
 * decideRetry({ end: { type: 'not-run' }, repeatable: false, runs: 0, sends: 1, maxAttempts: 1, remainingMs: 500, usualMs: 20 });
 */
export default function decideRetry(facts: RetryFacts): RetryDecision {
  const { end, repeatable, runs, sends, maxAttempts } = facts;
  const mayRunAgain = (repeatable || runs === 0) && runs < maxAttempts && sends < maxAttempts + EXTRA_SENDS;
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
