import type { ServerResponse } from 'node:http';
import type { StoreChange, StoreState } from './createStoreState.js';
import { formatHeader } from './runTxn.js';
import { decode, decodeEnd, formatChange, watchRequestSchema } from './wire.js';

const STATUS_OK = 200;

/**
 * Streams the changes of a range as JSON lines until the connection closes. A watch that starts at a revision that the
 * history no longer contains is cancelled, so that the client reads the range again.
 *
 * @param state - keys and change history
 * @param body - watch request
 * @param response - HTTP response to which the lines are written
 */
export default function runWatch(state: StoreState, body: unknown, response: ServerResponse): void {
  const { create_request: request } = watchRequestSchema.parse(body);
  const from = decode(request.key);
  const to = decodeEnd(from, request.range_end);
  const send = (
    changes: readonly StoreChange[],
    flags: { readonly created?: boolean; readonly canceled?: boolean },
  ) => {
    const events = changes
      .filter((change) => {
        const key = change.type === 'put' ? change.entry.key : change.key;
        return key >= from && key < to;
      })
      .map(formatChange);
    if (flags.created === true || events.length > 0) {
      response.write(`${JSON.stringify({ result: { header: formatHeader(state), ...flags, events } })}\n`);
    }
  };
  response.writeHead(STATUS_OK, { 'content-type': 'application/json' });
  const past = request.start_revision === 0 ? [] : state.changesSince(request.start_revision);
  if (past === undefined) {
    send([], { created: true, canceled: true });
    response.end();
    return;
  }
  send(past, { created: true });
  response.on(
    'close',
    state.onChange((changes) => send(changes, {})),
  );
}
