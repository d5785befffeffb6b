import { z } from 'zod';
import type { StoredKey, StoreChange } from './createStoreState.js';

/** Wire format of the store stand-in: JSON mapping of a published key-value protocol; keys and values are base64. */

const rangeSchema = z.object({
  key: z.string(),
  range_end: z.string().optional(),
  limit: z.coerce.number().optional(),
});
const putSchema = z.object({ key: z.string(), value: z.string().default(''), lease: z.string().optional() });
const deleteSchema = z.object({ key: z.string(), range_end: z.string().optional() });
const opSchema = z.object({
  request_put: putSchema.optional(),
  request_range: rangeSchema.optional(),
  request_delete_range: deleteSchema.optional(),
});
const compareSchema = z.object({
  key: z.string(),
  target: z.enum(['CREATE', 'MOD']),
  result: z.literal('EQUAL'),
  create_revision: z.coerce.number().default(0),
  mod_revision: z.coerce.number().default(0),
});

export const rangeRequestSchema = rangeSchema;
export const txnRequestSchema = z.object({
  compare: z.array(compareSchema).default([]),
  success: z.array(opSchema).default([]),
  failure: z.array(opSchema).default([]),
});
export const watchRequestSchema = z.object({
  create_request: z.object({
    key: z.string(),
    range_end: z.string().optional(),
    start_revision: z.coerce.number().default(0),
  }),
});
export const leaseGrantSchema = z.object({ TTL: z.coerce.number() });
export const leaseIdSchema = z.object({ ID: z.string() });

/** Request of a range read. */
export type RangeRequest = z.output<typeof rangeSchema>;

/** Request of a transaction. */
export type TxnRequest = z.output<typeof txnRequestSchema>;

/** An operation of a transaction. */
export type WireOp = z.output<typeof opSchema>;

/** A compare (condition) of a transaction. */
export type WireCompare = z.output<typeof compareSchema>;

export const decode = (text: string): string => Buffer.from(text, 'base64').toString('utf8');

const encode = (text: string): string => Buffer.from(text, 'utf8').toString('base64');

/** Decodes the exclusive end of a range; without `rangeEnd` the range contains only the key. */
export const decodeEnd = (key: string, rangeEnd: string | undefined): string =>
  rangeEnd === undefined || rangeEnd === '' ? `${key}\0` : decode(rangeEnd);

export const formatEntry = (entry: StoredKey): object => ({
  key: encode(entry.key),
  value: encode(entry.value),
  create_revision: String(entry.createRevision),
  mod_revision: String(entry.modRevision),
});

export const formatChange = (change: StoreChange): object =>
  change.type === 'put'
    ? { type: 'PUT', kv: formatEntry(change.entry) }
    : { type: 'DELETE', kv: { key: encode(change.key), mod_revision: String(change.revision) } };
