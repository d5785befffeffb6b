import type { PeerAddress } from '@bergamotcove/protocol';
import type { Random } from '../routing/types.js';
import { FIRST_PULL_DELAY_MS, START_JITTER_MS } from './constants.js';
import hashVersions from './hashVersions.js';
import type { ConvergenceState } from './types.js';

/**
 * Creates the initial state of a host that has just started and holds no documents.
 *
 * @param self - address, failure domain and region of this host
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
    nextReadMs: nowMs + random() * START_JITTER_MS,
    readFailures: 0,
    nextPullMs: nowMs + FIRST_PULL_DELAY_MS,
    startedMs: nowMs,
    pullStartedMs: undefined,
    offers: [],
    mutedDigests: new Map(),
  };
}
