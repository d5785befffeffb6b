import type { ServerView } from '@bergamotcove/decide';
import type { RequestFormat } from '../ports.js';
import type { ProcessCheck, ProcessChecks } from '../servers/createProcessChecks.js';
import type { Residency } from '../residency/createResidency.js';
import type { ServerPools } from '../servers/createServerPools.js';
import openAttempt, { type AttemptCall, type OpenedAttempt } from '../servers/openAttempt.js';
import { isResumable } from '../streams/createStreamOrigins.js';
import type StreamBinding from './StreamBinding.js';
import type { ForwardRequest } from './types.js';

/** Dependencies of {@link openChecked}. */
export interface OpeningPorts {
  readonly pools: ServerPools;
  readonly format: RequestFormat;
  readonly processChecks: ProcessChecks;
  readonly residency: Residency;
}

/** An attempt that is sent once the process at the server's address is known. */
export interface CheckedAttempt extends Pick<AttemptCall, 'freshConnection' | 'signal' | 'onSending'> {
  readonly server: ServerView;
  readonly request: ForwardRequest;
  readonly binding: StreamBinding;
  readonly formatHeaders: () => readonly string[];
  readonly maySend: () => boolean;
}

const REFUSED: ReadonlySet<ProcessCheck> = new Set(['replaced', 'refused', 'flooding']);

/**
 * Opens an attempt. A stream that may be resumed is not sent to a server that has started again since its entry was
 * written: its version is not known. One that is bound to a version is not sent to a server that does not say either.
 *
 * @param attempt - attempt to open
 * @param ports - connections to the servers and their checks
 * @returns the opened attempt, and whether nothing was sent because the server has started again
 */
export default async function openChecked(
  { server, request, binding, formatHeaders, ...attempt }: CheckedAttempt,
  { pools, format, processChecks, residency }: OpeningPorts,
): Promise<{ readonly opened: OpenedAttempt; readonly isReplaced: boolean }> {
  const isChecked = isResumable(request.route);
  // Nothing may come between a look at the idle connections and the use of one.
  const isConnected = !isChecked || (!attempt.freshConnection && processChecks.isConnected(server));
  const check = isConnected ? 'connected' : await processChecks.check(server);
  if (REFUSED.has(check) || (check === 'silent' && binding.isBound)) {
    const failure = { type: 'not-sent' } as const;
    const facts = { refused: check === 'refused', isFlooding: check === 'flooding' };
    return { opened: { type: 'failed', failure, ...facts }, isReplaced: check === 'replaced' };
  }
  const opened = await openAttempt(pools.clientOf(server.pool), format, {
    ...attempt,
    onSending: () => {
      attempt.onSending();
      binding.prepare(server);
    },
    target: server,
    requestId: request.requestId,
    method: request.method,
    path: request.path,
    headers: formatHeaders(),
    body: request.body,
    maySend: (socket) =>
      residency.permits(request, server.region) &&
      (!isChecked || processChecks.accept(check, server, socket)) &&
      attempt.maySend(),
  });
  return { opened, isReplaced: false };
}
