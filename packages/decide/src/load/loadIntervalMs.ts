import {
  LOAD_INTERVAL_PER_HOST_MS,
  MAX_LOAD_INTERVAL_MS,
  MAX_POLL_INTERVAL_MS,
  MAX_POLLS_PER_SECOND,
  MIN_LOAD_INTERVAL_MS,
  TARGET_POLLS_PER_SECOND,
} from './constants.js';

const MS_PER_SECOND = 1_000;

/** Intervals of the load reports of one failure domain. */
export interface LoadIntervals {
  /** Interval of the summaries of a host. */
  readonly roundMs: number;
  /** Interval of the reports of one server; several rounds if few hosts poll many servers. */
  readonly intervalMs: number;
}

/**
 * Computes the intervals of summaries and polls. They grow with the number of hosts, because each summary goes to all
 * of them. If few hosts poll many servers, a server is not polled in each round.
 *
 * @param hosts - number of live entry hosts of the failure domain
 * @param servers - number of servers that they poll together
 * @returns the intervals in milliseconds
 * @example
 * loadIntervalMs(37, 155); // { roundMs: 4070, intervalMs: 4070 }
 */
export default function loadIntervalMs(hosts: number, servers: number): LoadIntervals {
  const serversPerHost = servers / Math.max(1, hosts);
  const bySummaries = Math.min(MAX_LOAD_INTERVAL_MS, Math.max(MIN_LOAD_INTERVAL_MS, hosts * LOAD_INTERVAL_PER_HOST_MS));
  const byPolls = Math.min(MAX_POLL_INTERVAL_MS, (serversPerHost * MS_PER_SECOND) / TARGET_POLLS_PER_SECOND);
  const roundMs = Math.max(bySummaries, byPolls);
  return { roundMs, intervalMs: Math.max(roundMs, (serversPerHost * MS_PER_SECOND) / MAX_POLLS_PER_SECOND) };
}
