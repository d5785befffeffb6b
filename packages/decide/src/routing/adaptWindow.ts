import { FREE_SLOT_OVERCOMMIT, MAX_OVERFILL, SERVER_QUEUE_TARGET } from './constants.js';
import type { LoadReport } from './types.js';

/** State of one host at one server. */
export interface WindowFacts {
  /** Outstanding attempts of this host at the time of the report. */
  readonly ownAtReport: number;
  /** Attempts that the server was seen to run at the same time. */
  readonly slots: number;
  /** Entry hosts that send to the server. */
  readonly hosts: number;
}

const MIN_WINDOW = 1;

/**
 * Adapts the number of attempts that this host may have at a server. While the server has free slots, a host may take
 * its share of them beyond what it has; while it has a queue that is too long, each host takes back its part. Between
 * reports a host only replaces attempts that ended, so old reports cannot make hosts overfill a server together.
 *
 * @param report - load report
 * @param facts - what this host has there
 * @returns the window
 * @example
 * adaptWindow(report, { ownAtReport: 2, slots: 16, hosts: 9 });
 */
export default function adaptWindow(report: LoadReport, facts: WindowFacts): number {
  const hosts = Math.max(1, facts.hosts);
  const total = report.running + report.queued;
  if (report.queued > SERVER_QUEUE_TARGET) {
    const surplus = report.queued - SERVER_QUEUE_TARGET;
    const ownPart = total === 0 ? 0 : facts.ownAtReport / total;
    return Math.max(MIN_WINDOW, facts.ownAtReport - surplus * ownPart);
  }
  const freeSlots = Math.max(0, facts.slots - total);
  const free = Math.max(0, facts.slots + SERVER_QUEUE_TARGET - total);
  const extra = Math.min(free * FREE_SLOT_OVERCOMMIT, freeSlots * MAX_OVERFILL + hosts);
  return Math.max(MIN_WINDOW, facts.ownAtReport + extra / hosts);
}
