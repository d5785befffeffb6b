import { SUSPICION_BASE_MS } from './constants.js';

/**
 * Time from a suspicion to its verdict. It grows with the logarithm of the group, because a refutation needs that
 * many rounds of messages to reach every host.
 *
 * @param hosts - hosts of the failure domain
 * @returns the timeout
 * @example
 * suspicionTimeoutMs(100); // 6000
 */
export default function suspicionTimeoutMs(hosts: number): number {
  return SUSPICION_BASE_MS * Math.max(1, Math.log10(Math.max(1, hosts)));
}
