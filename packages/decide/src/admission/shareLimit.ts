import type { OrganisationLimit } from '@bergamotcove/config';
import type { LimitShare } from './types.js';

/**
 * Computes the share of one entry host in the limits of an organisation. With `n` live hosts in view the shares add
 * up to the limit. While failure domains cannot see each other, each group counts only its own hosts, so the sum is
 * at most the limit times the number of groups.
 *
 * @param limit - limit in the service document
 * @param liveHosts - live entry hosts in view, this one included
 * @returns the share
 * @example
 * shareLimit({ requestsPerSecond: 90, tokensPerSecond: 9_000, weight: 1 }, 9);
 */
export default function shareLimit(limit: OrganisationLimit, liveHosts: number): LimitShare {
  const hosts = Math.max(1, liveHosts);
  return { requestsPerSecond: limit.requestsPerSecond / hosts, tokensPerSecond: limit.tokensPerSecond / hosts };
}
