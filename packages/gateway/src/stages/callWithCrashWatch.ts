import { isFlooding, TransportError } from '@bergamotcove/transport';
import type { BackendDirectory, KnownServer } from '../catalogue/BackendDirectory.js';
import type { AttemptEnding } from '../crashes/createAttemptWatcher.js';
import type { CrashGuard } from '../crashes/createCrashGuard.js';
import type { RateLimits } from '../limits/createRateLimits.js';
import type { PieceItem } from '../ports.js';
import callStageServer, { type StageCallAnswer, type StageCallPorts } from './callStageServer.js';

/** Dependencies of {@link callWithCrashWatch}. */
export interface CrashWatchPorts extends StageCallPorts {
  readonly directory: BackendDirectory;
  readonly limits: Pick<RateLimits, 'noteAnswer'>;
  readonly crashes: Pick<CrashGuard, 'watch'>;
}

/** One call to a stage server. */
export interface StageCall {
  readonly items: readonly PieceItem[];
  /** Fingerprints of the requests whose pieces it contains. */
  readonly fingerprints: readonly string[];
  /** Timeout of the call. */
  readonly limitMs: number;
}

const STATUS_OK = 200;
const STATUS_MISDIRECTED = 421;

const classifyAnswer = ({ status, answers }: StageCallAnswer): AttemptEnding => {
  if (answers !== undefined) {
    return 'answered';
  }
  return status === STATUS_OK ? 'silent' : 'refused';
};

const classifyError = (cause: unknown): AttemptEnding => {
  const code = cause instanceof TransportError ? cause.code : undefined;
  if (code === 'not-connected') {
    return 'refused';
  }
  return code === 'connection-lost' ? 'reset' : 'silent';
};

/**
 * Calls a stage server, watches it for a crash, and records what its answer says about it.
 *
 * @param server - server to call
 * @param call - pieces, their requests and the timeout
 * @param ports - HTTP client, call format, server directory and crash guard
 * @returns the answer
 * @throws TransportError when there is no answer, after it is known whether the server refuses connections
 */
export default async function callWithCrashWatch(
  server: KnownServer,
  { items, fingerprints, limitMs }: StageCall,
  ports: CrashWatchPorts,
): Promise<StageCallAnswer> {
  const { directory, limits, crashes } = ports;
  const watch = crashes.watch(server, fingerprints);
  try {
    const answer = await callStageServer(server, items, ports, { limitMs });
    await watch.end(classifyAnswer(answer));
    if (answer.status === STATUS_MISDIRECTED) {
      directory.noteReplaced(server.serverId);
    } else {
      directory.applyNotice(server.serverId, answer.notice);
      limits.noteAnswer(server.serverId, answer.notice.rateLimit, answer.sentAtMs);
    }
    return answer;
  } catch (cause) {
    if (isFlooding(cause)) {
      directory.suspendFlooding(server.serverId);
    }
    await watch.end(classifyError(cause));
    throw cause;
  }
}
