import type { Clock } from '@bergamotcove/clock';
import type { ServerView } from '@bergamotcove/decide';
import type { PoolQueues } from '@bergamotcove/entry';
import type { Residency } from '../residency/createResidency.js';
import type { PlacementRequest, ServerPools } from './createServerPools.js';

/** Result of the placement of an attempt. */
export type Placement =
  | { readonly type: 'placed'; readonly server: ServerView }
  /** The pool has no live server. */
  | { readonly type: 'no-server' }
  /** The request ended while the attempt was queued. */
  | { readonly type: 'cancelled' };

/** Dependencies of {@link placeAttempt}. */
export interface PlacementPorts {
  readonly clock: Clock;
  readonly pools: ServerPools;
  readonly queues: PoolQueues;
  readonly residency: Pick<Residency, 'findRegions'>;
  readonly isCancelled: () => boolean;
}

/** Difference in rank between two priorities. It exceeds the distance between any two arrivals. */
const PRIORITY_STEP_MS = 1e9;

/**
 * Waits in the queue of the pool until a server has free capacity for an attempt.
 *
 * @param placement - attempt to place
 * @param ports - servers and queues
 * @returns the server, or the reason why there is none
 */
export default function placeAttempt(placement: PlacementRequest, ports: PlacementPorts): Promise<Placement> {
  const { clock, pools, queues, residency, isCancelled } = ports;
  const { request, pool } = placement;
  return new Promise((resolve) => {
    const tryStart = (): boolean => {
      if (isCancelled()) {
        resolve({ type: 'cancelled' });
        return true;
      }
      const choice = pools.choose(placement);
      if (choice === undefined) {
        resolve({ type: 'no-server' });
        return true;
      }
      if (choice.type === 'send') {
        resolve({ type: 'placed', server: choice.server });
        return true;
      }
      return false;
    };
    const rank = request.priority * PRIORITY_STEP_MS + clock.monotonicMs();
    const group = residency.findRegions(request)?.join(' ') ?? '';
    queues.enqueue({ pool, long: false, group, rank, tryStart });
  });
}
