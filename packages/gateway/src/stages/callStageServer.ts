import type { Clock } from '@bergamotcove/clock';
import { readBody, TransportError, type HttpClient } from '@bergamotcove/transport';
import type { KnownServer } from '../catalogue/BackendDirectory.js';
import noteResults from './noteResults.js';
import type { PieceAnswer, PieceItem, ServerNotice, StageFormat } from '../ports.js';

/** Dependencies of {@link callStageServer}. */
export interface StageCallPorts {
  readonly clock: Clock;
  readonly http: HttpClient;
  readonly format: StageFormat;
}

/** Answer to a call. */
export interface StageCallAnswer {
  readonly status: number;
  /** One answer for each piece, in order; undefined when the server accepted none. */
  readonly answers: readonly PieceAnswer[] | undefined;
  readonly notice: ServerNotice;
  /** Monotonic time at which the call was sent. */
  readonly sentAtMs: number;
  readonly totalMs: number;
}

const STATUS_OK = 200;
const CONNECT_TIMEOUT_MS = 300;

/**
 * Sends pieces to a stage server and reads its answer.
 *
 * @param server - server to call
 * @param items - pieces to run
 * @param ports - clock, HTTP client and call format
 * @param options - timeout of the call in milliseconds, and whether it may still be sent once it is connected
 * @returns the answer
 * @throws TransportError when the connection breaks or the timeout expires
 */
export default async function callStageServer(
  server: KnownServer,
  items: readonly PieceItem[],
  { clock, http, format }: StageCallPorts,
  options: { readonly limitMs: number; readonly maySend: () => boolean },
): Promise<StageCallAnswer> {
  const sentAtMs = clock.monotonicMs();
  const response = await http.open(server, {
    method: 'POST',
    path: format.runPath,
    headers: format.formatHeaders(server.serverId),
    body: format.formatRun(items),
    connectLimitMs: CONNECT_TIMEOUT_MS,
    signal: AbortSignal.timeout(Math.ceil(options.limitMs)),
    maySend: options.maySend,
  });
  // The response has no socket any more once it was read.
  const { socket } = response;
  const body = await readBody(response);
  const status = response.statusCode ?? 0;
  const read = status === STATUS_OK ? format.readRun(body) : undefined;
  const answers = read?.length === items.length ? read : undefined;
  const isForeign = answers !== undefined && !noteResults(socket, items, answers);
  if (isForeign || answers?.some(({ type }) => type === 'done') !== true) {
    // Only new results show that the answer is to this call. Another one may still come, and would be taken for the
    // answer to the next call.
    socket.destroy();
  }
  if (isForeign) {
    throw new TransportError('connection-lost', 'the answer belongs to another call');
  }
  return {
    status,
    notice: format.readNotice(status, response.headers),
    sentAtMs,
    answers,
    totalMs: clock.monotonicMs() - sentAtMs,
  };
}
