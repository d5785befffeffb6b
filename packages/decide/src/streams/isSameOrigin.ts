import type { StreamOrigin } from './types.js';

/**
 * Compares two origins.
 *
 * @param a - an origin
 * @param b - another origin; undefined differs from every origin
 * @returns whether the same servers may go on with streams of both
 * @example
 * isSameOrigin({ pool: 'lm', softwareVersion: 'v1' }, { pool: 'lm', softwareVersion: 'v2' }); // false
 */
export default function isSameOrigin(a: StreamOrigin, b: StreamOrigin | undefined): boolean {
  return a.pool === b?.pool && a.softwareVersion === b.softwareVersion;
}
