import { FREE_SLOT_OVERCOMMIT, MAX_OVERFILL, SERVER_QUEUE_TARGET } from './constants.js';
import type { LoadReport } from './types.js';

/** Use of one server by one host and by the other entry hosts. */
export interface WindowInputs {
  /** Outstanding attempts of this host at the time of the report. */
  readonly ownAtReport: number;
  /** Attempts that the server was seen to run at the same time. */
  readonly slots: number;
  /** Entry hosts that send to the server. */
  readonly hosts: number;
}

const MIN_WINDOW = 1;

/**
 * Computes the concurrency window of this host at a server: the number of attempts that it may have there. While the
 * server has free slots, the window grows by the host's share of them; while its queue is too long, each host shrinks
 * its window by its share of the surplus. Between reports a host only replaces attempts that ended, so hosts cannot
 * overload a server together by following an old report.
 *
 * @param report - load report
 * @param inputs - attempts and hosts at the server
 * @returns the window in attempts, at least 1; the caller treats a fraction as a probability
 * @example
 * adaptWindow(report, { ownAtReport: 2, slots: 16, hosts: 9 });
 */
export default function adaptWindow(report: LoadReport, inputs: WindowInputs): number {
  const hosts = Math.max(1, inputs.hosts);
  const total = report.running + report.queued;
  if (report.queued > SERVER_QUEUE_TARGET) {
    const surplus = report.queued - SERVER_QUEUE_TARGET;
    const ownShare = total === 0 ? 0 : inputs.ownAtReport / total;
    return Math.max(MIN_WINDOW, inputs.ownAtReport - surplus * ownShare);
  }
  const freeSlots = Math.max(0, inputs.slots - total);
  const free = Math.max(0, inputs.slots + SERVER_QUEUE_TARGET - total);
  const extra = Math.min(free * FREE_SLOT_OVERCOMMIT, freeSlots * MAX_OVERFILL + hosts);
  return Math.max(MIN_WINDOW, inputs.ownAtReport + extra / hosts);
}
