import type { PeerAddress } from '@bergamotcove/protocol';
import type { Random } from '../routing/types.js';
import { LEARN_FROM_PEER_MS, START_SPREAD_MS } from './constants.js';
import hashVersions from './hashVersions.js';
import type { ConvergenceState } from './types.js';

/**
 * Creates the configuration of a host that has just started and knows no document.
 *
 * @param self - address and place of this host
 * @param nowMs - monotonic time
 * @param random - source of random numbers
 * @returns the state
 */
export default function createConvergenceState(self: PeerAddress, nowMs: number, random: Random): ConvergenceState {
  return {
    self,
    hosts: [self],
    documents: new Map(),
    findings: new Map(),
    learntFrom: undefined,
    digest: hashVersions([]),
    digestSinceMs: nowMs,
    watcherRank: undefined,
    watch: 'off',
    nextReadMs: nowMs + random() * START_SPREAD_MS,
    readFailures: 0,
    nextPullMs: nowMs + LEARN_FROM_PEER_MS,
    startedMs: nowMs,
    pullSinceMs: undefined,
    offers: [],
    muted: new Map(),
  };
}
