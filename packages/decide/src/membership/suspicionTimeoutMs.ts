import { SUSPICION_BASE_HOSTS, SUSPICION_BASE_MS } from './constants.js';

/**
 * Time from a suspicion to its verdict. It grows with the logarithm of the group, because a refutation needs that
 * many rounds of messages to reach every host. It grows by half of the base for ten times the hosts: urgent changes
 * are sent on within milliseconds, and the crash must be known in the failure domain within 5 s.
 *
 * @param hosts - hosts of the failure domain
 * @returns the timeout
 * @example
 * suspicionTimeoutMs(100); // 3000
 */
export default function suspicionTimeoutMs(hosts: number): number {
  return SUSPICION_BASE_MS * (1 + Math.log10(Math.max(SUSPICION_BASE_HOSTS, hosts) / SUSPICION_BASE_HOSTS) / 2);
}
