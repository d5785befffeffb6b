import { exhaustive } from '@bergamotcove/errors';
import { CRASH_MERGE_MS, MAX_CRASHES, POISON_BLOCK_MS, SURE_CRASHES } from './constants.js';
import type { Crash, CrashEvent, PoisonEvent, PoisonState, PoisonStep } from './types.js';

const expire = (state: PoisonState, nowMs: number): PoisonState => ({
  crashes: state.crashes.filter((crash) => crash.atMs + POISON_BLOCK_MS > nowMs),
  blocks: new Map([...state.blocks].filter(([, untilMs]) => untilMs > nowMs)),
});

/** Whether a report is about a crash that is known; servers that restart under their ids crash again. */
const isSameCrash = (crash: Crash, { serverId, startId }: CrashEvent, nowMs: number): boolean =>
  crash.serverId === serverId &&
  nowMs - crash.atMs < CRASH_MERGE_MS &&
  (crash.startId === startId || crash.startId === undefined || startId === undefined);

const mergeCrash = (crashes: readonly Crash[], event: CrashEvent, nowMs: number): readonly Crash[] => {
  const same = crashes.find((crash) => isSameCrash(crash, event, nowMs));
  const merged: Crash = {
    serverId: event.serverId,
    startId: event.startId ?? same?.startId,
    atMs: same?.atMs ?? nowMs,
    fingerprints: new Set([...(same?.fingerprints ?? []), ...event.fingerprints]),
  };
  return [...crashes.filter((crash) => crash !== same), merged].slice(-MAX_CRASHES);
};

const countCrashes = (crashes: readonly Crash[], fingerprint: string): number =>
  crashes.filter(({ fingerprints }) => fingerprints.has(fingerprint)).length;

const listCommon = (one: Crash, other: Crash): readonly string[] =>
  [...one.fingerprints].filter((fingerprint) => other.fingerprints.has(fingerprint));

/**
 * Fingerprints that the latest crash proves guilty: those that ran in enough crashes, and the only one that it has in
 * common with the crash of another server. Two crashes of one server may be its own fault, and several common requests
 * leave open which one is to blame.
 */
const findCulprits = (crashes: readonly Crash[], latest: Crash): readonly string[] => [
  ...[...latest.fingerprints].filter((fingerprint) => countCrashes(crashes, fingerprint) >= SURE_CRASHES),
  ...crashes
    .filter(({ serverId }) => serverId !== latest.serverId)
    .map((earlier) => listCommon(earlier, latest))
    .flatMap((common) => (common.length === 1 ? common : [])),
];

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
 * it and no other request explains both crashes, or when three crashes came under it. A request that shared one crash
 * is never blocked.
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
