import { isFlooding, TransportError } from '@bergamotcove/transport';
import type { BackendDirectory, KnownServer } from '../catalogue/BackendDirectory.js';
import type { AttemptEnding } from '../crashes/createAttemptWatcher.js';
import type { CrashGuard } from '../crashes/createCrashGuard.js';
import type { RateLimits } from '../limits/createRateLimits.js';
import type { TrackedEnd } from '../requests/trackAttempt.js';
import isConnectionRefused from '../servers/isConnectionRefused.js';
import type { PieceItem } from '../ports.js';
import callStageServer, { type StageCallAnswer, type StageCallPorts } from './callStageServer.js';

/** Dependencies of {@link callWithCrashWatch}. */
export interface CrashWatchPorts extends StageCallPorts {
  readonly directory: BackendDirectory;
  readonly limits: Pick<RateLimits, 'maySend' | 'noteAnswer' | 'noteEnd'>;
  readonly crashes: Pick<CrashGuard, 'watch'>;
}

/** One call to a stage server. */
export interface StageCall {
  readonly items: readonly PieceItem[];
  /** Fingerprints of the requests whose pieces it contains. */
  readonly fingerprints: readonly string[];
  readonly expectedMs: number;
  /** Monotonic time before the permission to send it was asked for; undefined without one. */
  readonly permittedAtMs: number | undefined;
}

/** Call timeout as a multiple of the expected time. The pieces of a slow call were queued again long before. */
const CALL_TIMEOUT_FACTOR = 8;
const STATUS_OK = 200;
const STATUS_MISDIRECTED = 421;

const classifyAnswer = ({ status, answers }: StageCallAnswer): AttemptEnding => {
  if (answers !== undefined) {
    return 'answered';
  }
  return status === STATUS_OK ? 'silent' : 'refused';
};

/** What answers say about the pace of their server. */
const ANSWERED: Readonly<Partial<Record<AttemptEnding, TrackedEnd>>> = { answered: 'succeeded', refused: 'not-run' };

const FAILED: Readonly<Partial<Record<AttemptEnding, TrackedEnd>>> = { refused: 'not-sent', reset: 'lost' };

const classifyError = (cause: unknown): AttemptEnding => {
  const code = cause instanceof TransportError ? cause.code : undefined;
  if (code === 'not-connected') {
    return 'refused';
  }
  return code === 'connection-lost' ? 'reset' : 'silent';
};

const classifyFailure = (cause: unknown): TrackedEnd =>
  isConnectionRefused(cause) ? 'unreachable' : (FAILED[classifyError(cause)] ?? 'silent');

/**
 * Calls a stage server, watches it for a crash, and records what its answer says about it.
 *
 * @param server - server to call
 * @param call - pieces, their requests and the timeout
 * @param ports - HTTP client, call format, server directory and crash guard
 * @returns the answer, or that the permission became too old before the call was sent
 * @throws TransportError when there is no answer, after it is known whether the server refuses connections
 */
export default async function callWithCrashWatch(
  server: KnownServer,
  { items, fingerprints, expectedMs, permittedAtMs }: StageCall,
  ports: CrashWatchPorts,
): Promise<StageCallAnswer | 'not-permitted'> {
  const { clock, directory, limits, crashes } = ports;
  const { serverId } = server;
  const sentAtMs = clock.monotonicMs();
  let isExpired = false;
  const noteEnd = (type: TrackedEnd): void => {
    const elapsedMs = clock.monotonicMs() - sentAtMs;
    limits.noteEnd(serverId, { type, sentAtMs, elapsedMs, slowness: () => elapsedMs / expectedMs });
  };
  const watch = crashes.watch(server, fingerprints);
  try {
    const answer = await callStageServer(server, items, ports, {
      limitMs: expectedMs * CALL_TIMEOUT_FACTOR,
      maySend: () => {
        isExpired = !limits.maySend(serverId, permittedAtMs);
        return !isExpired;
      },
    });
    noteEnd(ANSWERED[classifyAnswer(answer)] ?? 'answered');
    await watch.end(classifyAnswer(answer));
    if (answer.status === STATUS_MISDIRECTED) {
      directory.noteReplaced(server.serverId);
    } else {
      directory.applyNotice(server.serverId, answer.notice);
      limits.noteAnswer(server.serverId, answer.notice.rateLimit, answer.sentAtMs);
    }
    return answer;
  } catch (cause) {
    if (isExpired) {
      await watch.end('refused');
      return 'not-permitted';
    }
    noteEnd(classifyFailure(cause));
    if (isFlooding(cause)) {
      directory.suspendFlooding(server.serverId);
    }
    await watch.end(classifyError(cause));
    throw cause;
  }
}
