import { SUSPICION_BASE_HOSTS, SUSPICION_BASE_MS } from './constants.js';

/**
 * Computes the time from a suspicion until the host is declared dead. It grows with the logarithm of the group size,
 * because a refutation needs that many rounds of gossip to reach every host. It grows by only half of the base for ten
 * times the hosts: urgent changes are forwarded within milliseconds, and a crash must be known in the failure domain
 * within 5 s.
 *
 * @param hosts - number of hosts in the failure domain
 * @returns the timeout in milliseconds
 * @example
 * suspicionTimeoutMs(100); // 3000
 */
export default function suspicionTimeoutMs(hosts: number): number {
  return SUSPICION_BASE_MS * (1 + Math.log10(Math.max(SUSPICION_BASE_HOSTS, hosts) / SUSPICION_BASE_HOSTS) / 2);
}
