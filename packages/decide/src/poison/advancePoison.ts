import { exhaustive } from '@bergamotcove/errors';
import { CRASH_MERGE_MS, MAX_CRASHES, POISON_BLOCK_MS, SAME_START_MERGE_MS, SURE_CRASHES } from './constants.js';
import type { Crash, CrashEvent, PoisonEvent, PoisonState, PoisonStep } from './types.js';

const expire = (state: PoisonState, nowMs: number): PoisonState => ({
  crashes: state.crashes.filter((crash) => crash.atMs + POISON_BLOCK_MS > nowMs),
  blocks: new Map([...state.blocks].filter(([, untilMs]) => untilMs > nowMs)),
});

/** Whether a report is about a crash that is known; servers that restart under their ids crash again. */
const isSameCrash = (crash: Crash, { serverId, startId }: CrashEvent, atMs: number): boolean => {
  if (crash.serverId !== serverId) {
    return false;
  }
  const apartMs = Math.abs(crash.atMs - atMs);
  return crash.startId === undefined || startId === undefined
    ? apartMs < CRASH_MERGE_MS
    : crash.startId === startId && apartMs < SAME_START_MERGE_MS;
};

const mergeCrash = (crashes: readonly Crash[], event: CrashEvent, nowMs: number): readonly Crash[] => {
  const atMs = nowMs - (event.agoMs ?? 0);
  const same = crashes.find((crash) => isSameCrash(crash, event, atMs));
  const merged: Crash = {
    serverId: event.serverId,
    startId: event.startId ?? same?.startId,
    atMs: same?.atMs ?? atMs,
    fingerprints: new Set([...(same?.fingerprints ?? []), ...event.fingerprints]),
    doubtful: new Set([...(same?.doubtful ?? []), ...(event.doubtful ?? [])]),
  };
  return [...crashes.filter((crash) => crash !== same), merged].slice(-MAX_CRASHES);
};

const listCommon = (one: Crash, other: Crash): readonly string[] =>
  [...one.fingerprints].filter((fingerprint) => other.fingerprints.has(fingerprint));

/** Whether a request ran in enough crashes. Those of one moment are an outage rather than the fault of a request. */
const isProved = ({ crashes }: PoisonState, fingerprint: string): boolean => {
  const under = crashes.filter(({ fingerprints }) => fingerprints.has(fingerprint));
  const timesMs = under.map(({ atMs }) => atMs);
  const isDoubtful = under.some(({ doubtful }) => doubtful.has(fingerprint));
  const isSpread = Math.max(...timesMs) - Math.min(...timesMs) >= CRASH_MERGE_MS;
  return under.length >= SURE_CRASHES && (isSpread || !isDoubtful);
};

/**
 * Fingerprints that the latest crash proves guilty: those that ran in enough crashes, and the only one that it has in
 * common with the crash of another server. Two crashes of one server may be its own fault, several common requests
 * leave open which one is to blame, and one that met a silent server, or whose answer had begun, may have run well.
 */
const findCulprits = (state: PoisonState, latest: Crash): readonly string[] => [
  ...[...latest.fingerprints].filter((fingerprint) => isProved(state, fingerprint)),
  ...state.crashes
    .filter(({ serverId }) => serverId !== latest.serverId)
    .flatMap((earlier) => {
      const common = listCommon(earlier, latest);
      const isDoubtful = common.some((each) => earlier.doubtful.has(each) || latest.doubtful.has(each));
      return common.length === 1 && !isDoubtful ? common : [];
    }),
];

const block = (state: PoisonState, fingerprints: readonly string[], untilMs: number): PoisonStep => {
  const blocked = [...new Set(fingerprints)].filter((fingerprint) => !state.blocks.has(fingerprint));
  const added = blocked.map((fingerprint): [string, number] => [fingerprint, untilMs]);
  return { state: { ...state, blocks: new Map([...state.blocks, ...added]) }, blocked };
};

const without = (fingerprints: ReadonlySet<string>, removed: string): ReadonlySet<string> =>
  new Set([...fingerprints].filter((fingerprint) => fingerprint !== removed));

/** Forgets the crashes under a request. */
const acquit = (state: PoisonState, acquitted: string): PoisonState => ({
  ...state,
  crashes: state.crashes
    .map((crash) =>
      crash.fingerprints.has(acquitted)
        ? {
            ...crash,
            fingerprints: without(crash.fingerprints, acquitted),
            doubtful: without(crash.doubtful, acquitted),
          }
        : crash,
    )
    .filter(({ fingerprints }) => fingerprints.size > 0),
});

const release = (state: PoisonState, released: string): PoisonState => ({
  ...acquit(state, released),
  blocks: new Map([...state.blocks].filter(([fingerprint]) => fingerprint !== released)),
});

/**
 * Advances the suspicions of one host by one event. A fingerprint is blocked when two different servers crashed under
 * it and no other request explains both crashes, or when three crashes came under it. A request that shared one crash
 * is never blocked, and an answer clears a request of the crashes before.
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
      const next = { ...current, crashes };
      return block(next, findCulprits(next, crashes.at(-1) as Crash), nowMs + POISON_BLOCK_MS);
    }
    case 'block':
      return block(current, [event.fingerprint], nowMs + Math.min(event.remainingMs, POISON_BLOCK_MS));
    case 'answered':
      return { state: acquit(current, event.fingerprint), blocked: [] };
    case 'release':
      return { state: release(current, event.fingerprint), blocked: [] };
    default:
      return exhaustive(event);
  }
}
