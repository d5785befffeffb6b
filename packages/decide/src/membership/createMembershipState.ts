import type { PeerAddress } from '@bergamotcove/protocol';
import { PROBE_PERIOD_MS, SYNC_INTERVAL_MS } from './constants.js';
import type { MembershipState } from './types.js';

/**
 * Creates the initial membership of a host that knows only itself.
 *
 * @param self - address, failure domain and region of this host
 * @param nowMs - monotonic time
 * @returns the state
 */
export default function createMembershipState(self: PeerAddress, nowMs: number): MembershipState {
  const announcement = { hostId: self.hostId, state: 'alive', incarnation: 0, host: self } as const;
  return {
    self,
    incarnation: 0,
    phase: 'alive',
    listedLeaving: false,
    members: new Map(),
    domains: new Map(),
    probes: new Map(),
    relays: new Map(),
    gossip: new Map([[self.hostId, { update: announcement, sends: 0, sinceMs: nowMs }]]),
    probeRound: [],
    probePeriods: 0,
    remoteRound: [],
    representativeSinceMs: undefined,
    nextSequence: 1,
    lastTickMs: nowMs,
    nextPeriodMs: nowMs + PROBE_PERIOD_MS,
    nextReconnectMs: nowMs,
    nextSyncMs: nowMs + SYNC_INTERVAL_MS,
    synced: false,
    forwardDue: false,
    lastForwardMs: -Infinity,
    outbox: [],
    digest: '',
  };
}
