import type { Clock } from '@bergamotcove/clock';
import type { ServerView } from '@bergamotcove/decide';
import type { PoolQueues } from '@bergamotcove/entry';
import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import type { AttemptEnding } from '../crashes/createAttemptWatcher.js';
import type { CrashGuard } from '../crashes/createCrashGuard.js';
import type { OpenedAttempt } from '../servers/openAttempt.js';
import type { AttemptResult } from './types.js';

/** What the pool learns from an attempt. */
export type TrackedEnd =
  /** A whole answer of success. */
  | 'succeeded'
  /** Another whole answer. */
  | 'answered'
  /** The server could not be reached. */
  | 'not-sent'
  /** The server refused the connection. */
  | 'unreachable'
  /** The server turned it away. */
  | 'not-run'
  /** What came is no answer to it. */
  | 'invalid'
  /** The connection was lost before an answer. */
  | 'lost'
  /** The connection was lost within an answer. */
  | 'broken'
  /** The server sent nothing for too long. */
  | 'silent'
  /** The request ended first. */
  | 'abandoned';

/** Parts that are told of an attempt. */
export interface TrackPorts {
  readonly clock: Clock;
  readonly directory: BackendDirectory;
  readonly queues: PoolQueues;
  readonly crashes: CrashGuard;
}

/** Work of an attempt, and the request that it is for. */
export interface SentAttempt {
  readonly tokens: number;
  readonly fingerprint: string;
}

/** An attempt whose end its server's pool and the guard against crashes are told. */
export interface TrackedAttempt {
  /** The server has begun to answer. */
  noteAnswering(): void;
  /** Resolves when it is known whether the server crashed. */
  end(end: TrackedEnd): Promise<void>;
}

/** How an attempt came to its end. */
export interface AttemptSummary {
  readonly opened: OpenedAttempt;
  readonly result: AttemptResult;
  /** Whether it was given up because its server was silent. */
  readonly timedOut: boolean;
  /** Whether the request ended first. */
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

/** Ends after which a pool trusts its server less. */
const FAILURES: ReadonlySet<TrackedEnd> = new Set(['not-sent', 'unreachable', 'invalid', 'lost', 'silent']);

const MIN_SUCCESS_STATUS = 200;
const MIN_REDIRECT_STATUS = 300;

/** What the pool learns from an attempt that has ended. */
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
 * Notes an attempt at its server for as long as it lasts.
 *
 * @param server - where it goes
 * @param attempt - what is sent
 * @param ports - who is told
 * @returns the attempt
 */
export default function trackAttempt(
  server: ServerView,
  { tokens, fingerprint }: SentAttempt,
  { clock, directory, queues, crashes }: TrackPorts,
): TrackedAttempt {
  const { serverId } = server;
  const startedAtMs = clock.monotonicMs();
  directory.note(serverId, { type: 'sent', tokens, long: false });
  const known = directory.find(serverId);
  const watch = known === undefined ? undefined : crashes.watch(known, [fingerprint]);
  return {
    noteAnswering: () => watch?.noteAnswering(),
    end: async (end) => {
      if (end === 'succeeded' || end === 'answered') {
        directory.note(serverId, { type: 'progress', tokens, elapsedMs: clock.monotonicMs() - startedAtMs });
        directory.note(serverId, { type: 'answered' });
      } else if (FAILURES.has(end)) {
        directory.note(serverId, { type: 'failed' });
      }
      directory.note(serverId, { type: 'done', tokensLeft: tokens, long: false });
      queues.drain(server.pool);
      await watch?.end(WATCHER_ENDINGS[end]);
    },
  };
}
