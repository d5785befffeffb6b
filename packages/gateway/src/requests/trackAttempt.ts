import type { Clock } from '@bergamotcove/clock';
import type { ServerView } from '@bergamotcove/decide';
import type { PoolQueues } from '@bergamotcove/entry';
import type { BackendDirectory } from '../catalogue/createBackendDirectory.js';
import type { OpenedAttempt } from '../servers/openAttempt.js';
import type { CrashGuard } from './createCrashGuard.js';
import type { AttemptResult } from './types.js';

/** What the pool learns from an attempt. */
export type TrackedEnd =
  | 'answered'
  /** The server did not take the request. */
  | 'failed'
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
export interface TrackedAttempt {
  readonly tokens: number;
  readonly fingerprint: string;
}

/** What the pool learns from an attempt that ran to its end. */
export const classifyEnd = (opened: OpenedAttempt, result: AttemptResult, isSilent: boolean): TrackedEnd => {
  if (isSilent) {
    return 'silent';
  }
  if (result.type === 'delivered' || result.end.type === 'answered') {
    return 'answered';
  }
  if (opened.type === 'head') {
    return result.end.type === 'unknown' ? 'broken' : 'abandoned';
  }
  return opened.failure.type === 'connection-lost' ? 'lost' : 'failed';
};

/**
 * Notes an attempt at its server for as long as it lasts.
 *
 * @param server - where it goes
 * @param attempt - what is sent
 * @param ports - who is told
 * @returns call it with the end; resolves when it is known whether the server crashed
 */
export default function trackAttempt(
  server: ServerView,
  { tokens, fingerprint }: TrackedAttempt,
  { clock, directory, queues, crashes }: TrackPorts,
): (end: TrackedEnd) => Promise<void> {
  const { serverId } = server;
  const startedAtMs = clock.monotonicMs();
  directory.note(serverId, { type: 'sent', tokens, long: false });
  const unwatch = crashes.watch(serverId, fingerprint);
  return async (end) => {
    if (end === 'answered') {
      directory.note(serverId, { type: 'progress', tokens, elapsedMs: clock.monotonicMs() - startedAtMs });
      directory.note(serverId, { type: 'answered' });
    } else if (end !== 'abandoned' && end !== 'broken') {
      directory.note(serverId, { type: 'failed' });
    }
    directory.note(serverId, { type: 'done', tokensLeft: tokens, long: false });
    queues.drain(server.pool);
    const known = directory.find(serverId);
    if (end === 'lost' && known !== undefined) {
      await crashes.noteLost(known);
    } else if (end === 'lost' || end === 'broken' || end === 'silent') {
      crashes.noteUnproved(serverId, end === 'lost' ? 'entry-gone' : end);
    }
    unwatch();
  };
}
