import { CRASH_MERGE_MS, MAX_CRASHES, SAME_START_MERGE_MS } from '../constants.js';
import type { Crash, CrashEvent } from '../types.js';

/** What one report says of the requests that ran. */
interface ReportedRequests {
  readonly fingerprints?: Iterable<string>;
  readonly doubtful?: Iterable<string>;
}

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

const listSure = ({ fingerprints = [], doubtful = [] }: ReportedRequests): readonly string[] => {
  const inDoubt = new Set(doubtful);
  return [...fingerprints].filter((fingerprint) => !inDoubt.has(fingerprint));
};

/** Requests whose end may have another cause by all reports that name them. */
const mergeDoubtful = (reports: readonly ReportedRequests[]): ReadonlySet<string> => {
  const sure = new Set(reports.flatMap(listSure));
  return new Set(reports.flatMap(({ doubtful = [] }) => [...doubtful]).filter((each) => !sure.has(each)));
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
    doubtful: mergeDoubtful([same ?? {}, event]),
    answered: new Set([...(same?.answered ?? []), ...(event.answered ?? [])]),
  };
  return [...crashes.filter((crash) => crash !== same), merged].slice(-MAX_CRASHES);
}
