import type { Clock } from '@bergamotcove/clock';
import type { ServerView } from '@bergamotcove/decide';
import type { PoolQueues } from '@bergamotcove/entry';
import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import type { AttemptEnding } from '../crashes/createAttemptWatcher.js';
import type { CrashGuard } from '../crashes/createCrashGuard.js';
import type { RateLimits } from '../limits/createRateLimits.js';
import type { OpenedAttempt } from '../servers/openAttempt.js';
import type { AttemptResult, ForwardRequest } from './types.js';

/** How an attempt ended, as recorded for its server. */
export type TrackedEnd =
  /** A complete answer with a success status. */
  | 'succeeded'
  /** A complete answer with another status. */
  | 'answered'
  /** The attempt was not sent because no connection was made. */
  | 'not-sent'
  /** The server refused the connection. */
  | 'unreachable'
  /** The server stated that it did not run the attempt. */
  | 'not-run'
  /** The message received is not an answer to the attempt. */
  | 'invalid'
  /** The connection was lost before the head of the answer. */
  | 'lost'
  /** The connection was lost during the answer. */
  | 'broken'
  /** The idle timeout expired. */
  | 'silent'
  /** The request ended first. */
  | 'abandoned';

/** Dependencies of {@link trackAttempt}. */
export interface TrackPorts {
  readonly clock: Clock;
  readonly directory: BackendDirectory;
  readonly queues: PoolQueues;
  readonly crashes: CrashGuard;
  readonly limits: Pick<RateLimits, 'noteEnd'>;
}

/** Work of an attempt, and the request that it is for. */
export interface SentAttempt extends Pick<ForwardRequest, 'fingerprint' | 'partKeys'> {
  readonly tokens: number;
}

/** An attempt whose end is reported to the server directory and to the crash guard. */
export interface TrackedAttempt {
  /** Call it when the server has begun to answer. */
  noteAnswering(): void;
  /** Call it when the server has produced output. */
  noteOutput(): void;
  /** Reports the end of the attempt. Resolves when it is known whether the server crashed. */
  end(end: TrackedEnd): Promise<void>;
}

/** What is known about an attempt that has ended. */
export interface AttemptSummary {
  readonly opened: OpenedAttempt;
  readonly result: AttemptResult;
  /** Whether the idle timeout of the attempt expired. */
  readonly timedOut: boolean;
  /** Whether the request ended before the attempt. */
  readonly requestEnded: boolean;
}

const WATCHER_ENDINGS: Readonly<Record<TrackedEnd, AttemptEnding>> = {
  succeeded: 'succeeded',
  answered: 'answered',
  'not-sent': 'refused',
  unreachable: 'unreachable',
  'not-run': 'refused',
  invalid: 'silent',
  lost: 'reset',
  broken: 'reset',
  silent: 'silent',
  abandoned: 'abandoned',
};

/** Ends that count as failures of the server. */
const FAILURES: ReadonlySet<TrackedEnd> = new Set(['not-sent', 'unreachable', 'invalid', 'lost', 'silent']);

const MIN_SUCCESS_STATUS = 200;
const MIN_REDIRECT_STATUS = 300;

/** Classifies how an attempt ended. */
export const classifyEnd = ({ opened, result, timedOut, requestEnded }: AttemptSummary): TrackedEnd => {
  if (timedOut) {
    return 'silent';
  }
  if (result.type === 'delivered') {
    return 'succeeded';
  }
  if (result.end.type === 'answered') {
    const { status } = result.end;
    return status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS ? 'succeeded' : 'answered';
  }
  if (opened.type === 'head' && result.end.type === 'not-run') {
    return 'not-run';
  }
  if (requestEnded) {
    return 'abandoned';
  }
  if (opened.type === 'head') {
    return 'broken';
  }
  switch (opened.failure.type) {
    case 'connection-lost':
      return 'lost';
    case 'invalid-answer':
      return 'invalid';
    default:
      return opened.refused ? 'unreachable' : 'not-sent';
  }
};

/**
 * Records an attempt as outstanding work of its server until it ends.
 *
 * @param server - server that gets the attempt
 * @param attempt - work of the attempt, and the keys of its request and prompt
 * @param ports - directory, queues and crash guard that are informed
 * @returns the attempt; call `end` exactly once
 */
export default function trackAttempt(
  server: ServerView,
  { tokens, fingerprint, partKeys }: SentAttempt,
  { clock, directory, queues, crashes, limits }: TrackPorts,
): TrackedAttempt {
  const { serverId } = server;
  const startedAtMs = clock.monotonicMs();
  directory.note(serverId, { type: 'sent', tokens, long: false });
  const known = directory.find(serverId);
  const watch = known === undefined ? undefined : crashes.watch(known, [fingerprint], partKeys);
  return {
    noteAnswering: () => watch?.noteAnswering(),
    noteOutput: () => watch?.noteOutput(),
    end: async (end) => {
      if (end === 'succeeded' || end === 'answered') {
        directory.note(serverId, { type: 'progress', tokens, elapsedMs: clock.monotonicMs() - startedAtMs });
        directory.note(serverId, { type: 'answered' });
      } else if (FAILURES.has(end)) {
        directory.note(serverId, { type: 'failed' });
      }
      const elapsedMs = clock.monotonicMs() - startedAtMs;
      const slowness = (): number => elapsedMs / (tokens * directory.view(server.pool).msPerToken);
      limits.noteEnd(serverId, { type: end, sentAtMs: startedAtMs, elapsedMs, slowness });
      directory.note(serverId, { type: 'done', tokensLeft: tokens, long: false });
      queues.drain(server.pool);
      await watch?.end(WATCHER_ENDINGS[end]);
    },
  };
}
