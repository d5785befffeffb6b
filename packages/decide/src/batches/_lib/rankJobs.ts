import TinyQueue from 'tinyqueue';
import type { QueuedJob } from './queuedJob.js';

/** What the order of jobs depends on besides the jobs. */
export interface RankFacts {
  /** Time at which the next call can begin. */
  readonly startMs: number;
  /** Time from the begin of a full call to its end. */
  readonly callMs: number;
  /** Time that the servers of the pool together need for the waiting pieces of a job in full calls. */
  readonly costMs: (entry: QueuedJob) => number;
}

/** Jobs in the order in which their pieces are sent. */
export interface RankedJobs {
  /** Jobs that are expected to be done by their due time: by rank, then the earliest due time first. */
  readonly onTime: readonly QueuedJob[];
  /** The others, by value and then by the end of their use. */
  readonly late: readonly QueuedJob[];
}

/** A request with all its other stages done counts as this much more, because giving it up wastes them. */
const PROGRESS_WEIGHT = 1;

const weigh = ({ job }: QueuedJob): number => job.value * (1 + PROGRESS_WEIGHT * job.progress);

/** A scheduled job, by its value for its cost. */
interface Scheduled {
  readonly entry: QueuedJob;
  readonly order: number;
  readonly costMs: number;
  readonly density: number;
}

/**
 * Orders jobs so that those done by their due time have the largest value together (Moore and Hodgson's rule with
 * weights): jobs are scheduled by rank and due time, and when one would be late, the scheduled one with the least value
 * for its cost is put behind. Without it, a queue that is longer than the time left makes every job a little late.
 * The first ranks go first although later ones may be due earlier, because the stages that follow take longer than
 * usual at a crest and need the time that is left.
 *
 * @param entries - jobs with waiting pieces
 * @param facts - capacity of the pool
 * @returns the order
 */
export default function rankJobs(entries: readonly QueuedJob[], facts: RankFacts): RankedJobs {
  const byRank = [...entries].sort((a, b) => a.job.priority - b.job.priority || a.job.dueAtMs - b.job.dueAtMs);
  const scheduled = new Set<QueuedJob>();
  const byDensity = new TinyQueue<Scheduled>([], (a, b) => a.density - b.density || a.order - b.order);
  const late: QueuedJob[] = [];
  let endMs = facts.startMs;
  byRank.forEach((entry, order) => {
    if (facts.startMs + facts.callMs > entry.job.dueAtMs) {
      late.push(entry);
      return;
    }
    const costMs = facts.costMs(entry);
    const density = weigh(entry) / Math.max(costMs, Number.MIN_VALUE);
    scheduled.add(entry);
    byDensity.push({ entry, order, costMs, density });
    endMs += costMs;
    while (scheduled.has(entry) && endMs - costMs + facts.callMs > entry.job.dueAtMs) {
      const worst = byDensity.pop() as Scheduled;
      scheduled.delete(worst.entry);
      late.push(worst.entry);
      endMs -= worst.costMs;
    }
  });
  late.sort((a, b) => weigh(b) - weigh(a) || a.job.expiresAtMs - b.job.expiresAtMs);
  return { onTime: [...scheduled], late };
}
