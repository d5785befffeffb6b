import { createHash } from 'node:crypto';
import * as z from 'zod/mini';
import type { AgreedOrigins } from '@bergamotcove/decide';

const rowsSchema = z.array(z.object({ route: z.string(), pool: z.string(), softwareVersion: z.string() }));
const originSchema = z.object({ pool: z.string(), softwareVersion: z.string() });

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** Formats the agreed origins for the store. */
export const formatAgreed = (agreed: AgreedOrigins): string =>
  JSON.stringify([...agreed].map(([route, origin]) => ({ route, ...origin })));

/** Parses the agreed origins; undefined when the text is not readable. */
export const parseAgreed = (text: string): AgreedOrigins | undefined => {
  const rows = rowsSchema.safeParse(parseJson(text));
  return rows.success
    ? new Map(rows.data.map(({ route, pool, softwareVersion }) => [route, { pool, softwareVersion }]))
    : undefined;
};

/** Parses the record of a stream; undefined when the text is not readable. */
export const parseOrigin = (text: string): z.output<typeof originSchema> | undefined => {
  const origin = originSchema.safeParse(parseJson(text));
  return origin.success ? origin.data : undefined;
};

/** Longer ids are hashed, because the store limits the length of keys. */
const MAX_ID_CHARS = 64;

/** Formats the key of the record of a stream. */
export const formatStreamKey = (prefix: string, requestId: string): string =>
  requestId.length <= MAX_ID_CHARS
    ? `${prefix}${requestId}`
    : `${prefix}${createHash('sha256').update(requestId).digest('base64url')}`;
