import {
  LOAD_INTERVAL_PER_HOST_MS,
  MAX_LOAD_INTERVAL_MS,
  MAX_POLL_INTERVAL_MS,
  MAX_POLLS_PER_SECOND,
  MIN_LOAD_INTERVAL_MS,
  POLLS_PER_SECOND,
} from './constants.js';

const MS_PER_SECOND = 1_000;

/** Intervals of load reports in one failure domain. */
export interface LoadIntervals {
  /** Interval of the summaries of a host. */
  readonly roundMs: number;
  /** Interval of the reports of one server; several rounds where few hosts have many servers. */
  readonly intervalMs: number;
}

/**
 * Intervals of summaries and polls. They grow with the hosts, because each summary goes to all of them, and where few
 * hosts have many servers a server is not polled in each round.
 *
 * @param hosts - live entry hosts of the failure domain
 * @param servers - servers that they poll together
 * @returns the intervals in milliseconds
 * @example
 * loadIntervalMs(37, 155); // { roundMs: 4070, intervalMs: 4070 }
 */
export default function loadIntervalMs(hosts: number, servers: number): LoadIntervals {
  const serversOfHost = servers / Math.max(1, hosts);
  const bySummaries = Math.min(MAX_LOAD_INTERVAL_MS, Math.max(MIN_LOAD_INTERVAL_MS, hosts * LOAD_INTERVAL_PER_HOST_MS));
  const byPolls = Math.min(MAX_POLL_INTERVAL_MS, (serversOfHost * MS_PER_SECOND) / POLLS_PER_SECOND);
  const roundMs = Math.max(bySummaries, byPolls);
  return { roundMs, intervalMs: Math.max(roundMs, (serversOfHost * MS_PER_SECOND) / MAX_POLLS_PER_SECOND) };
}
