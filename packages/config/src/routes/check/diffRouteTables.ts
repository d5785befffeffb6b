import { createHash } from 'node:crypto';
import diffDocuments from '../../diff/diffDocuments.js';
import type { Difference } from '../../diff/types.js';
import type { RouteTable } from '../types.js';

const DIGEST_LENGTH = 8;

/** Replaces keys by digests, because differences reach terminals and logs. */
const hideKeys = (table: RouteTable): object => ({
  ...table,
  organisations: table.organisations?.map(({ keys, ...rest }) => ({
    ...rest,
    keys: keys.map((key) => createHash('sha256').update(key).digest('hex').slice(0, DIGEST_LENGTH)),
  })),
});

/**
 * Lists what differs between two route tables.
 *
 * @param before - the earlier table
 * @param after - the later table
 * @returns the differences, with digests in place of keys
 */
export default function diffRouteTables(before: RouteTable, after: RouteTable): readonly Difference[] {
  return diffDocuments(hideKeys(before), hideKeys(after));
}
