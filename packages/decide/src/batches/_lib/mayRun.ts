import isPermitted from '../../residency/isPermitted.js';
import type { BatchJob, BatchServer } from '../types.js';

/**
 * Tells whether a server may run the pieces of a job.
 *
 * @param job - job, with the regions that may run it
 * @param server - the server
 * @returns false when its region is not permitted
 */
export default function mayRun(
  { homeRegions }: Pick<BatchJob, 'homeRegions'>,
  { region }: Pick<BatchServer, 'region'>,
): boolean {
  return isPermitted(homeRegions, region);
}
