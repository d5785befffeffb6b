import mayRun from './mayRun.js';
import type { QueuedJob } from './queuedJob.js';
import type { ServerState } from './serverState.js';

/**
 * Finds the jobs that no listed server may run because of its region. Jobs with running pieces are left out: these may
 * still end, and the job is reviewed again then.
 *
 * @param jobs - queued jobs
 * @param servers - listed servers
 * @returns ids of the jobs
 */
export default function findUnservable(
  jobs: ReadonlyMap<string, QueuedJob>,
  servers: ReadonlyMap<string, ServerState>,
): readonly string[] {
  const listed = [...servers.values()];
  return [...jobs.values()]
    .filter(({ job, pieces }) => job.homeRegions !== undefined && !pieces.includes('running'))
    .filter(({ job }) => !listed.some(({ server }) => mayRun(job, server)))
    .map(({ job }) => job.jobId);
}
