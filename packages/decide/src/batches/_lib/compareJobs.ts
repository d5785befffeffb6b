import type { BatchJob } from '../types.js';

/** Orders jobs: by rank, then by the time at which they are due. */
export default function compareJobs(a: BatchJob, b: BatchJob): number {
  return a.priority - b.priority || a.dueAtMs - b.dueAtMs;
}
