import { isPermitted } from '@bergamotcove/decide';
import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import type { Residency } from '../residency/createResidency.js';
import type Reservation from './Reservation.js';
import { NO_SERVER_RETRY_AFTER_MS } from './ServerFinder.js';
import type { ForwardRequest } from './types.js';

/** Dependencies of {@link findUnservedMs}. */
export interface UnservedPorts {
  readonly directory: Pick<BackendDirectory, 'isEvacuated' | 'list' | 'readBackoffRemainingMs'>;
  readonly residency: Pick<Residency, 'findRegions'>;
}

/**
 * Finds out whether a request can be served by no server: all servers of a pool that it needs are in evacuated failure
 * domains or in regions that may not serve it, or it was assigned to such a region.
 *
 * @param request - request, with the piece counts of its stages
 * @param run - pool of the request and its entry in the schedule
 * @param ports - server directory and permitted regions
 * @returns the Retry-After of its refusal, or undefined when it can be served
 */
export default function findUnservedMs(
  request: ForwardRequest,
  { pool, reservation }: { readonly pool: string; readonly reservation: Pick<Reservation, 'isWithin'> },
  { directory, residency }: UnservedPorts,
): number | undefined {
  const { route, facts } = request;
  const stagePools = route.stages.filter((_, stage) => (facts.pieceCounts[stage] ?? 0) > 0).map((stage) => stage.pool);
  const regions = residency.findRegions(request);
  const isUnserved = (each: string): boolean =>
    directory.isEvacuated(each) ||
    (regions !== undefined && !directory.list(each).some(({ region }) => isPermitted(regions, region)));
  const unserved = [pool, ...stagePools].find(isUnserved);
  if (unserved !== undefined) {
    return directory.readBackoffRemainingMs(unserved) ?? NO_SERVER_RETRY_AFTER_MS;
  }
  return reservation.isWithin(regions) ? undefined : NO_SERVER_RETRY_AFTER_MS;
}
