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

/** Runs a range read and returns the response in the wire format. */
export const readRange = (view: StoreView, request: RangeRequest): object => {
  const from = decode(request.key);
  const entries = view.range(from, decodeEnd(from, request.range_end), request.limit);
  return { header: formatHeader(view), kvs: entries.map(formatEntry) };
};

const isSatisfied = (view: StoreView, compare: WireCompare): boolean => {
  const entry = view.get(decode(compare.key));
  return compare.target === 'CREATE'
    ? (entry?.createRevision ?? 0) === compare.create_revision
    : (entry?.modRevision ?? 0) === compare.mod_revision;
};

const toWrites = (op: WireOp): readonly StoreWrite[] => {
  if (op.request_put !== undefined) {
    const { key, value, lease } = op.request_put;
    const leaseField = lease === undefined ? {} : { leaseId: lease };
    return [{ type: 'put', key: decode(key), value: decode(value), ...leaseField }];
  }
  if (op.request_delete_range !== undefined) {
    const from = decode(op.request_delete_range.key);
    return [{ type: 'delete', from, to: decodeEnd(from, op.request_delete_range.range_end) }];
  }
  return [];
};

/** Lists the keys that a transaction writes in either branch; for a deletion, the first key of its range. */
export const listWrittenKeys = (request: TxnRequest): readonly string[] =>
  [...request.success, ...request.failure]
    .flatMap(toWrites)
    .map((write) => (write.type === 'put' ? write.key : write.from));

/**
 * Runs a transaction: its `success` operations when all compares hold, otherwise its `failure` operations.
 *
 * @param state - keys of the store
 * @param request - compares and operations
 * @param options - `discardWrites` confirms the writes without applying them
 * @returns the response in the wire format
 */
export default function runTxn(
  state: StoreState,
  request: TxnRequest,
  options: { readonly discardWrites: boolean },
): object {
  const succeeded = request.compare.every((compare) => isSatisfied(state, compare));
  const ops = succeeded ? request.success : request.failure;
  const writes = ops.flatMap(toWrites);
  if (writes.length > 0 && !options.discardWrites) {
    state.write(writes);
  }
  const responses = ops.map((op) =>
    op.request_range === undefined ? {} : { response_range: readRange(state, op.request_range) },
  );
  return { header: formatHeader(state), succeeded, responses };
}
