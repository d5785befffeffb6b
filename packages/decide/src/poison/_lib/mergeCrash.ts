import { CRASH_MERGE_MS, MAX_CRASHES, SAME_START_MERGE_MS } from '../constants.js';
import type { Crash, CrashEvent } from '../types.js';

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

/** Adds a report to the crashes that are known; the last one is that of the report. */
export default function mergeCrash(crashes: readonly Crash[], event: CrashEvent, nowMs: number): readonly Crash[] {
  const atMs = nowMs - (event.agoMs ?? 0);
  const same = crashes.find((crash) => isSameCrash(crash, event, atMs));
  const merged: Crash = {
    serverId: event.serverId,
    startId: event.startId ?? same?.startId,
    atMs: same?.atMs ?? atMs,
    fingerprints: new Set([...(same?.fingerprints ?? []), ...event.fingerprints]),
    doubtful: new Set([...(same?.doubtful ?? []), ...(event.doubtful ?? [])]),
    answered: new Set([...(same?.answered ?? []), ...(event.answered ?? [])]),
  };
  return [...crashes.filter((crash) => crash !== same), merged].slice(-MAX_CRASHES);
}
