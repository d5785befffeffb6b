import type { HostStatus } from '@bergamotcove/protocol';
import type { StorePosition } from '../catalogue/comparePositions.js';
import type { HostEntry } from '../hosts/createHostRegistry.js';

/** What a gateway tells an operator of itself; the route table counts as one service. */
export interface GatewayStatus extends HostStatus {
  /** Latest position of the store that it knows. */
  readonly store: StorePosition;
}

/** State of a gateway. */
export interface GatewayState extends Pick<GatewayStatus, 'ready' | 'draining' | 'inFlight' | 'store'> {
  readonly self: HostEntry;
  readonly hosts: readonly HostEntry[];
  /** Version of the route table in force; undefined before the first one. */
  readonly tableVersion: number | undefined;
}

/**
 * Describes a gateway for `bergamotctl status`.
 *
 * @param state - its state
 * @returns the answer
 */
export default function describeStatus({ self, hosts, tableVersion, ...state }: GatewayState): GatewayStatus {
  return {
    hostId: self.hostId,
    failureDomain: self.failureDomain,
    region: self.region,
    ...state,
    entryHosts: hosts.map(({ hostId }) => hostId),
    services: tableVersion === undefined ? [] : [{ service: 'route table', version: tableVersion }],
  };
}
