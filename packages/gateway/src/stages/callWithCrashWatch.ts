import { TransportError } from '@bergamotcove/transport';
import type { BackendDirectory, KnownServer } from '../catalogue/BackendDirectory.js';
import type { AttemptEnding } from '../crashes/createAttemptWatcher.js';
import type { CrashGuard } from '../crashes/createCrashGuard.js';
import type { PieceItem } from '../ports.js';
import callStageServer, { type StageCallAnswer, type StageCallPorts } from './callStageServer.js';

/** Parts that are told what a call tells of its server. */
export interface CrashWatchPorts extends StageCallPorts {
  readonly directory: BackendDirectory;
  readonly crashes: Pick<CrashGuard, 'watch'>;
}

/** One call to a stage server. */
export interface StageCall {
  readonly items: readonly PieceItem[];
  /** Requests whose pieces it has. */
  readonly fingerprints: readonly string[];
  /** Time after which it is given up. */
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
 * Calls a stage server and watches it for a crash.
 *
 * @param server - where the pieces go
 * @param call - the pieces
 * @param ports - connections, format, and who is told of the server
 * @returns the answer
 * @throws TransportError when there is none, once it is known whether the server refuses connections
 */
export default async function callWithCrashWatch(
  server: KnownServer,
  { items, fingerprints, limitMs }: StageCall,
  ports: CrashWatchPorts,
): Promise<StageCallAnswer> {
  const { directory, crashes } = ports;
  const watch = crashes.watch(server, fingerprints);
  try {
    const answer = await callStageServer(server, items, ports, { limitMs });
    await watch.end(classifyAnswer(answer));
    if (answer.status === STATUS_MISDIRECTED) {
      directory.noteGone(server.serverId);
    } else {
      directory.noteSigns(server.serverId, answer.signs);
    }
    return answer;
  } catch (cause) {
    await watch.end(classifyError(cause));
    throw cause;
  }
}
