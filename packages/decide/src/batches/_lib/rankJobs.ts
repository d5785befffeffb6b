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

const density = ({ job }: QueuedJob, costMs: number): number =>
  (job.value * (1 + PROGRESS_WEIGHT * job.progress)) / Math.max(costMs, Number.MIN_VALUE);

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
  const scheduled = new Map<QueuedJob, number>();
  const late: QueuedJob[] = [];
  let endMs = facts.startMs;
  byRank.forEach((entry) => {
    const costMs = facts.costMs(entry);
    const isHopeless = facts.startMs + facts.callMs > entry.job.dueAtMs;
    if (isHopeless) {
      late.push(entry);
      return;
    }
    scheduled.set(entry, costMs);
    endMs += costMs;
    while (endMs - costMs + facts.callMs > entry.job.dueAtMs && scheduled.size > 0) {
      const [worst, worstMs] = [...scheduled].reduce((least, one) =>
        density(...one) < density(...least) ? one : least,
      );
      scheduled.delete(worst);
      late.push(worst);
      endMs -= worstMs;
      if (worst === entry) {
        break;
      }
    }
  });
  const lateValue = ({ job }: QueuedJob): number => job.value * (1 + PROGRESS_WEIGHT * job.progress);
  late.sort((a, b) => lateValue(b) - lateValue(a) || a.job.expiresAtMs - b.job.expiresAtMs);
  return { onTime: [...scheduled.keys()], late };
}
