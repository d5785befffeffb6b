import type { StoreState, StoreView, StoreWrite } from './createStoreState.js';
import {
  decode,
  decodeEnd,
  formatEntry,
  type RangeRequest,
  type TxnRequest,
  type WireCompare,
  type WireOp,
} from './wire.js';

export const formatHeader = (view: StoreView): object => ({ revision: String(view.revision()) });

/** Answers a range read. */
export const readRange = (view: StoreView, request: RangeRequest): object => {
  const from = decode(request.key);
  const entries = view.range(from, decodeEnd(from, request.range_end), request.limit);
  return { header: formatHeader(view), kvs: entries.map(formatEntry) };
};

const holds = (view: StoreView, compare: WireCompare): boolean => {
  const entry = view.get(decode(compare.key));
  return compare.target === 'CREATE'
    ? (entry?.createRevision ?? 0) === compare.create_revision
    : (entry?.modRevision ?? 0) === compare.mod_revision;
};

const toWrites = (op: WireOp): readonly StoreWrite[] => {
  if (op.request_put !== undefined) {
    const { key, value, lease } = op.request_put;
    const attached = lease === undefined ? {} : { leaseId: lease };
    return [{ type: 'put', key: decode(key), value: decode(value), ...attached }];
  }
  if (op.request_delete_range !== undefined) {
    const from = decode(op.request_delete_range.key);
    return [{ type: 'delete', from, to: decodeEnd(from, op.request_delete_range.range_end) }];
  }
  return [];
};

/** Keys that a transaction writes in either branch. */
export const listWrittenKeys = (request: TxnRequest): readonly string[] =>
  [...request.success, ...request.failure]
    .flatMap(toWrites)
    .map((write) => (write.type === 'put' ? write.key : write.from));

/**
 * Runs a transaction.
 *
 * @param state - keys
 * @param request - compares and operations
 * @param options - `loseWrites` confirms the writes without applying them
 * @returns the answer as it goes on the wire
 */
export default function runTxn(
  state: StoreState,
  request: TxnRequest,
  options: { readonly loseWrites: boolean },
): object {
  const succeeded = request.compare.every((compare) => holds(state, compare));
  const ops = succeeded ? request.success : request.failure;
  const writes = ops.flatMap(toWrites);
  if (writes.length > 0 && !options.loseWrites) {
    state.write(writes);
  }
  const responses = ops.map((op) =>
    op.request_range === undefined ? {} : { response_range: readRange(state, op.request_range) },
  );
  return { header: formatHeader(state), succeeded, responses };
}
