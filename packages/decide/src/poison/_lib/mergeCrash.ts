import { CRASH_MERGE_MS, MAX_CRASHES, SAME_PROCESS_MERGE_MS } from '../constants.js';
import type { Crash, CrashEvent } from '../types.js';

/** Requests that one report names. */
interface ReportedRequests {
  readonly fingerprints?: Iterable<string>;
  readonly doubtful?: Iterable<string>;
}

/** Whether a report is about a known crash; a server that restarts under its id can crash again. */
const isSameCrash = (crash: Crash, { serverId, startId }: CrashEvent, atMs: number): boolean => {
  if (crash.serverId !== serverId) {
    return false;
  }
  const apartMs = Math.abs(crash.atMs - atMs);
  return crash.startId === undefined || startId === undefined
    ? apartMs < CRASH_MERGE_MS
    : crash.startId === startId && apartMs < SAME_PROCESS_MERGE_MS;
};

const listUndoubted = ({ fingerprints = [], doubtful = [] }: ReportedRequests): readonly string[] => {
  const excluded = new Set(doubtful);
  return [...fingerprints].filter((fingerprint) => !excluded.has(fingerprint));
};

/** Requests that every report that names them marks as doubtful. */
const mergeDoubtful = (reports: readonly ReportedRequests[]): ReadonlySet<string> => {
  const undoubted = new Set(reports.flatMap(listUndoubted));
  return new Set(reports.flatMap(({ doubtful = [] }) => [...doubtful]).filter((each) => !undoubted.has(each)));
};

/** Merges a report into the known crashes; the last crash of the result is the reported one. */
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
    pool: event.pool ?? same?.pool,
    prompts: new Map([
      ...(same?.prompts ?? []),
      ...(event.prompts ?? []).map(({ fingerprint, parts }): [string, readonly string[]] => [fingerprint, parts]),
    ]),
  };
  return [...crashes.filter((crash) => crash !== same), merged].slice(-MAX_CRASHES);
}
