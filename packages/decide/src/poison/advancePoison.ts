import { exhaustive } from '@bergamotcove/errors';
import { AMBIGUOUS_CRASHES, CRASH_MERGE_MS, MAX_CRASHES, POISON_BLOCK_MS } from './constants.js';
import type { Crash, PoisonEvent, PoisonState, PoisonStep } from './types.js';

const expire = (state: PoisonState, nowMs: number): PoisonState => ({
  crashes: state.crashes.filter((crash) => crash.atMs + POISON_BLOCK_MS > nowMs),
  blocks: new Map([...state.blocks].filter(([, untilMs]) => untilMs > nowMs)),
});

const mergeCrash = (
  crashes: readonly Crash[],
  event: Extract<PoisonEvent, { type: 'crash' }>,
  nowMs: number,
): readonly Crash[] => {
  const same = crashes.find(({ serverId, atMs }) => serverId === event.serverId && nowMs - atMs < CRASH_MERGE_MS);
  const fingerprints = new Set([...(same?.fingerprints ?? []), ...event.fingerprints]);
  const merged = { serverId: event.serverId, atMs: same?.atMs ?? nowMs, fingerprints };
  return [...crashes.filter((crash) => crash !== same), merged].slice(-MAX_CRASHES);
};

const countServers = (crashes: readonly Crash[], fingerprint: string): number =>
  new Set(crashes.filter((crash) => crash.fingerprints.has(fingerprint)).map(({ serverId }) => serverId)).size;

/**
 * Fingerprints that two crashes of different servers attribute to one request. If several requests ran in both
 * crashes, either could be to blame; they are blocked only after a further server crashed under them.
 */
const findCulprits = (crashes: readonly Crash[], latest: Crash): readonly string[] =>
  crashes
    .filter(({ serverId }) => serverId !== latest.serverId)
    .flatMap((earlier) => {
      const common = [...latest.fingerprints].filter((fingerprint) => earlier.fingerprints.has(fingerprint));
      return common.length === 1
        ? common
        : common.filter((fingerprint) => countServers(crashes, fingerprint) >= AMBIGUOUS_CRASHES);
    });

const block = (state: PoisonState, fingerprints: readonly string[], untilMs: number): PoisonStep => {
  const blocked = [...new Set(fingerprints)].filter((fingerprint) => !state.blocks.has(fingerprint));
  const added = blocked.map((fingerprint): [string, number] => [fingerprint, untilMs]);
  return { state: { ...state, blocks: new Map([...state.blocks, ...added]) }, blocked };
};

const release = (state: PoisonState, released: string): PoisonState => ({
  crashes: state.crashes
    .map((crash) => ({
      ...crash,
      fingerprints: new Set([...crash.fingerprints].filter((fingerprint) => fingerprint !== released)),
    }))
    .filter((crash) => crash.fingerprints.size > 0),
  blocks: new Map([...state.blocks].filter(([fingerprint]) => fingerprint !== released)),
});

/**
 * Advances the suspicions of one host by one event. A fingerprint is blocked when two different servers crashed under
 * it and no other request explains both crashes. A request that shared one crashing server is never blocked.
 *
 * @param state - state before the event
 * @param event - what happened
 * @param nowMs - monotonic time
 * @returns the new state and the fingerprints that are newly blocked
 * @example
 * const { state, blocked } = advancePoison(before, { type: 'crash', serverId: 's1', fingerprints: ['f'] }, nowMs);
 */
export default function advancePoison(state: PoisonState, event: PoisonEvent, nowMs: number): PoisonStep {
  const current = expire(state, nowMs);
  switch (event.type) {
    case 'crash': {
      const crashes = mergeCrash(current.crashes, event, nowMs);
      const culprits = findCulprits(crashes, crashes.at(-1) as Crash);
      return block({ ...current, crashes }, culprits, nowMs + POISON_BLOCK_MS);
    }
    case 'block':
      return block(current, [event.fingerprint], nowMs + Math.min(event.remainingMs, POISON_BLOCK_MS));
    case 'release':
      return { state: release(current, event.fingerprint), blocked: [] };
    default:
      return exhaustive(event);
  }
}
