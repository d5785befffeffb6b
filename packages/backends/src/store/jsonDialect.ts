import createJsonCall from './_lib/createJsonCall.js';
import {
  encodeText,
  formatCompare,
  formatOp,
  keepAliveAnswerSchema,
  leaseAnswerSchema,
  prefixEnd,
  rangeAnswerSchema,
  toEntry,
  txnAnswerSchema,
} from './_lib/wire.js';
import type { StoreDialect } from './dialect.js';
import watchStore from './watchStore.js';

const MS_PER_SECOND = 1_000;

/** Wire format of the product's own store: a published key-value protocol over HTTP and JSON. */
const jsonDialect: StoreDialect = {
  get: (key) =>
    createJsonCall('/v3/kv/range', { key: encodeText(key) }, rangeAnswerSchema, ({ kvs }) => kvs.map(toEntry)[0]),
  range: (prefix, bounds) => {
    const body = {
      key: encodeText(prefix),
      range_end: encodeText(bounds.rangeEnd ?? prefixEnd(prefix)),
      ...(bounds.limit === undefined ? {} : { limit: String(bounds.limit) }),
    };
    return createJsonCall('/v3/kv/range', body, rangeAnswerSchema, ({ kvs, header }) => ({
      entries: kvs.map(toEntry),
      revision: header.revision,
    }));
  },
  txn: (compares, success, failure) => {
    const body = {
      compare: compares.map(formatCompare),
      success: success.map(formatOp),
      failure: failure.map(formatOp),
    };
    return createJsonCall('/v3/kv/txn', body, txnAnswerSchema, ({ responses, succeeded, header }) => ({
      succeeded,
      revision: header.revision,
      gets: responses.flatMap(({ response_range: read }) => (read === undefined ? [] : [read.kvs.map(toEntry)[0]])),
    }));
  },
  grantLease: (ttlMs) => {
    const body = { TTL: String(Math.ceil(ttlMs / MS_PER_SECOND)) };
    return createJsonCall('/v3/lease/grant', body, leaseAnswerSchema, ({ ID }) => ID);
  },
  keepAlive: (leaseId) =>
    createJsonCall(
      '/v3/lease/keepalive',
      { ID: leaseId },
      keepAliveAnswerSchema,
      ({ result }) => Number(result.TTL) * MS_PER_SECOND,
    ),
  revokeLease: (leaseId) => ({
    ...createJsonCall('/v3/kv/lease/revoke', { ID: leaseId }, undefined, () => undefined),
  }),
  watch: watchStore,
};

export default jsonDialect;
