import * as z from 'zod/mini';
import BackendError from '../../BackendError.js';
import type { Compare, StoreEntry, StoreOp } from '../types.js';

// Wire format of the store: JSON with keys and values in base64, and 64-bit integers as strings.

const entrySchema = z.object({
  key: z.string(),
  value: z._default(z.string(), ''),
  create_revision: z.string(),
  mod_revision: z.string(),
});
const headerSchema = z.object({ revision: z._default(z.string(), '0') });

export const rangeAnswerSchema = z.object({ header: headerSchema, kvs: z._default(z.array(entrySchema), []) });
export const txnAnswerSchema = z.object({
  header: headerSchema,
  succeeded: z._default(z.boolean(), false),
  responses: z._default(
    z.array(z.object({ response_range: z.optional(z.object({ kvs: z._default(z.array(entrySchema), []) })) })),
    [],
  ),
});
export const watchAnswerSchema = z.object({
  result: z.object({
    header: headerSchema,
    created: z._default(z.boolean(), false),
    events: z._default(
      z.array(z.object({ type: z._default(z.enum(['PUT', 'DELETE']), 'PUT'), kv: z.partial(entrySchema) })),
      [],
    ),
  }),
});
export const leaseAnswerSchema = z.object({ ID: z.string() });
export const keepAliveAnswerSchema = z.object({ result: z.object({ TTL: z._default(z.string(), '0') }) });

/** Encodes a key or value in base64. */
export const encodeText = (text: string): string => Buffer.from(text, 'utf8').toString('base64');

/** Decodes a key or value from base64. */
export const decodeText = (text: string): string => Buffer.from(text, 'base64').toString('utf8');

/** Returns the exclusive end of the range of all keys that start with the prefix. */
export const prefixEnd = (prefix: string): string => {
  const last = prefix.charCodeAt(prefix.length - 1);
  return prefix.slice(0, -1) + String.fromCharCode(last + 1);
};

/** Converts an entry from the wire format. */
export const toEntry = (entry: z.output<typeof entrySchema>): StoreEntry => ({
  key: decodeText(entry.key),
  value: decodeText(entry.value),
  createRevision: entry.create_revision,
  modRevision: entry.mod_revision,
});

/** Converts a condition of a transaction to the wire format. */
export const formatCompare = (compare: Compare): object => {
  const key = encodeText(compare.key);
  return compare.type === 'create-revision'
    ? { key, target: 'CREATE', result: 'EQUAL', create_revision: compare.revision }
    : { key, target: 'MOD', result: 'EQUAL', mod_revision: compare.revision };
};

/** Converts an operation to the wire format. */
export const formatOp = (op: StoreOp): object => {
  const key = encodeText(op.key);
  switch (op.type) {
    case 'put':
      return {
        request_put: { key, value: encodeText(op.value), ...(op.leaseId === undefined ? {} : { lease: op.leaseId }) },
      };
    case 'delete':
      return {
        request_delete_range: { key, ...(op.rangeEnd === undefined ? {} : { range_end: encodeText(op.rangeEnd) }) },
      };
    default:
      return { request_range: { key } };
  }
};

/** Parses an answer of the store; throws BackendError `invalid-answer` when it does not match the schema. */
export const parseAnswer = <Schema extends z.ZodMiniType>(schema: Schema, text: string): z.output<Schema> => {
  try {
    return schema.parse(JSON.parse(text));
  } catch (cause) {
    throw new BackendError('invalid-answer', 'the store sent an answer that does not match its protocol', { cause });
  }
};
