import isPermitted from '../../residency/isPermitted.js';
import type { BatchJob, BatchServer } from '../types.js';
import type { ServerState } from './serverState.js';

/** Whether a server may run the pieces of a job. */
export const mayRun = ({ homeRegions }: BatchJob, { region }: BatchServer): boolean => isPermitted(homeRegions, region);

/** Servers that could get the pieces of a job instead. */
export interface OtherServers {
  readonly candidates: ReadonlySet<ServerState>;
  /** Largest room of a healthy candidate that could start a call now, by failure domain. */
  readonly freeRoom: ReadonlyMap<string, number>;
}

/**
 * Whether another server, nearer to the inputs of a job, could start one of its pieces now.
 *
 * @param job - job with waiting pieces
 * @param server - server that gets the next call
 * @param others - the other servers without an assigned batch
 * @returns whether the pieces should be left for the other server
 */
export default function isNearer(job: BatchJob, server: BatchServer, { candidates, freeRoom }: OtherServers): boolean {
  const { failureDomain, resultBytes, homeRegions } = job;
  const hasRoom = failureDomain !== server.failureDomain && (freeRoom.get(failureDomain) ?? 0) > resultBytes;
  const isUsable = ({ server: other }: ServerState): boolean =>
    other.failureDomain === failureDomain && mayRun(job, other);
  return hasRoom && (homeRegions === undefined || [...candidates].some(isUsable));
}
