import TinyQueue from 'tinyqueue';
import type { QueuedJob } from './queuedJob.js';

/** Capacity of the pool for which jobs are ordered. */
export interface PoolCapacity {
  /** Monotonic time at which the next call can start. */
  readonly startMs: number;
  /** Duration of a full call. */
  readonly callMs: number;
  /** Returns the time in ms that all servers together need for the waiting pieces of a job in full calls. */
  readonly costMs: (entry: QueuedJob) => number;
}

/** Jobs in the order in which their pieces are sent. */
export interface RankedJobs {
  /** Jobs that are expected to end by their due time, ordered by rank and then by due time. */
  readonly onTime: readonly QueuedJob[];
  /** The other jobs, ordered by decreasing value and then by expiry. */
  readonly late: readonly QueuedJob[];
}

/** Relative gain in value of a request with all other stages done, because abandoning it wastes their work. */
const PROGRESS_WEIGHT = 1;

const effectiveValue = ({ job }: QueuedJob): number => job.value * (1 + PROGRESS_WEIGHT * job.progress);

/** A scheduled job with its cost and its value per cost (`density`). */
interface ScheduledJob {
  readonly entry: QueuedJob;
  readonly order: number;
  readonly costMs: number;
  readonly density: number;
}

/**
 * Orders jobs so that those that end by their due time have the largest total value (weighted Moore-Hodgson rule): jobs
 * are scheduled by rank and due time, and when one would be late, the scheduled job with the lowest value per cost is
 * moved behind the others. Without this rule, a queue that is longer than the time left makes every job a little late.
 * Higher ranks go first even if lower ones are due earlier, because the stages that follow take longer than usual at a
 * load peak and need the remaining time.
 *
 * @param entries - jobs with waiting pieces
 * @param capacity - capacity of the pool
 * @returns the jobs on time and the late jobs, each in the order in which they are sent
 */
export default function rankJobs(entries: readonly QueuedJob[], capacity: PoolCapacity): RankedJobs {
  const byRank = [...entries].sort((a, b) => a.job.priority - b.job.priority || a.job.dueAtMs - b.job.dueAtMs);
  const scheduled = new Set<QueuedJob>();
  const byDensity = new TinyQueue<ScheduledJob>([], (a, b) => a.density - b.density || a.order - b.order);
  const late: QueuedJob[] = [];
  let endMs = capacity.startMs;
  byRank.forEach((entry, order) => {
    if (capacity.startMs + capacity.callMs > entry.job.dueAtMs) {
      late.push(entry);
      return;
    }
    const costMs = capacity.costMs(entry);
    const density = effectiveValue(entry) / Math.max(costMs, Number.MIN_VALUE);
    scheduled.add(entry);
    byDensity.push({ entry, order, costMs, density });
    endMs += costMs;
    while (scheduled.has(entry) && endMs - costMs + capacity.callMs > entry.job.dueAtMs) {
      const worst = byDensity.pop() as ScheduledJob;
      scheduled.delete(worst.entry);
      late.push(worst.entry);
      endMs -= worst.costMs;
    }
  });
  late.sort((a, b) => effectiveValue(b) - effectiveValue(a) || a.job.expiresAtMs - b.job.expiresAtMs);
  return { onTime: [...scheduled], late };
}
