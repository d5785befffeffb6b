import type { Clock } from '@bergamotcove/clock';
import type { HttpExchange } from '@bergamotcove/transport';
import { StatusReply } from './serveJson.js';
import type { ServerControls } from './startFaultyServer.js';
import wait from './wait.js';

const STATUS_UNAVAILABLE = 503;

/** Result of the faults that act before the execution: the request runs, or ends with or without a reply. */
export type PreExecutionResult = { readonly type: 'run' } | { readonly type: 'end'; readonly reply?: StatusReply };

/**
 * Applies the faults that act before the execution.
 *
 * @param controls - active faults
 * @param exchange - HTTP request and response
 * @param options - clock for delays, and the input as text, which is searched for markers of `poison` faults
 * @returns whether the request runs; if not, the reply, which is undefined when the connection was dropped
 */
export default async function applyPreExecutionFaults(
  controls: ServerControls,
  exchange: HttpExchange,
  options: { readonly clock: Clock; readonly inputText: string },
): Promise<PreExecutionResult> {
  const { faults } = controls;
  if (faults.take('leaving') !== undefined) {
    return { type: 'end', reply: new StatusReply(STATUS_UNAVAILABLE, { executed: false, leaving: true }) };
  }
  const crash =
    faults.take('crash-before') ??
    faults.take('poison', ({ marker }) => marker !== undefined && options.inputText.includes(marker));
  if (crash !== undefined) {
    controls.crash(crash.delayMs);
    return { type: 'end' };
  }
  if (faults.take('reset-before') !== undefined) {
    exchange.request.socket.resetAndDestroy();
    return { type: 'end' };
  }
  const slow = faults.take('slow');
  if (slow !== undefined) {
    await wait(options.clock, slow.delayMs);
  }
  return { type: 'run' };
}
