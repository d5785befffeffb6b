import type { HostStatus } from '@bergamotcove/protocol';
import type { StorePosition } from '../catalogue/comparePositions.js';
import type { HostEntry } from '../hosts/createHostRegistry.js';

/** Status of a gateway for operators; the route table is listed as one service. */
export interface GatewayStatus extends HostStatus {
  /** Latest position of the store that the gateway knows. */
  readonly store: StorePosition;
  /** Failure domains whose servers get nothing new. */
  readonly evacuated: readonly string[];
}

/** State from which the status is derived. */
export interface GatewayState extends Pick<GatewayStatus, 'ready' | 'draining' | 'inFlight' | 'store' | 'evacuated'> {
  readonly self: HostEntry;
  readonly hosts: readonly HostEntry[];
  /** Version of the route table in force; undefined before the first one. */
  readonly tableVersion: number | undefined;
}

/**
 * Describes the status of a gateway for `bergamotctl status`.
 *
 * @param state - state of the gateway
 * @returns the status
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
