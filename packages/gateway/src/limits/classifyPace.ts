import type { PaceEvent } from '@bergamotcove/decide';
import type { TrackedEnd } from '../requests/trackAttempt.js';

/** How a request to a server ended. */
export interface ObservedEnd {
  readonly type: TrackedEnd;
  /** Monotonic time at which it was sent. */
  readonly sentAtMs: number;
  readonly elapsedMs: number;
  /** Reads its time relative to the usual one of the pool. */
  readonly slowness: () => number;
}

/** Slowness up to which an answer is as quick as a warm server's, and from which it shows strain. */
const MAX_QUICK = 1.5;
const MIN_SLOW = 4;
/** A connection that is not made within about this time shows that the server is silent. */
const SILENT_CONNECT_MS = 280;

const classifySuccess = ({ sentAtMs, slowness }: ObservedEnd): PaceEvent | undefined => {
  const measured = slowness();
  if (measured <= MAX_QUICK) {
    return { type: 'quick', count: 1, sentAtMs };
  }
  return measured >= MIN_SLOW ? { type: 'strained' } : undefined;
};

/**
 * Classifies what the end of a request says about the pace of its server.
 *
 * @param end - how it ended
 * @param durationMs - cold time of servers of its pool
 * @returns the observation; undefined when it says nothing
 */
export default function classifyPace(end: ObservedEnd, durationMs: number): PaceEvent | undefined {
  switch (end.type) {
    case 'succeeded':
      return classifySuccess(end);
    case 'not-run':
      return { type: 'strained' };
    case 'unreachable':
      // Nothing listens there, so the process that will is cold.
      return { type: 'assumed', coldMs: durationMs };
    case 'lost':
    case 'broken':
    case 'silent':
      return { type: 'suspected' };
    case 'not-sent':
      return end.elapsedMs >= SILENT_CONNECT_MS ? { type: 'suspected' } : undefined;
    default:
      return undefined;
  }
}
