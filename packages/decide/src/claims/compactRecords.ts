import type { ClaimRecord, ClaimSnapshot } from '@bergamotcove/protocol';
import { encodeRun, mergeRuns } from './_lib/finishedClaims.js';
import {
  ANSWER_RETENTION_MS,
  CLAIM_RETENTION_MS,
  MAX_SEGMENTS,
  MAX_SNAPSHOT_BYTES,
  RUN_SPAN_MS,
  SEGMENT_BYTES,
  SNAPSHOT_MARGIN_BYTES,
} from './constants.js';
import type { ClaimRecords, ClaimRun, CompactedShard, ShardContent, ShardOptions } from './types.js';

const MS_PER_SECOND = 1_000;

type Entry = readonly [string, ClaimRecord];

/**
 * Returns the time that retention is based on. A host whose wall clock was stepped forward must not drop claims early,
 * so that the time never exceeds that of the newest claim of another host.
 */
const readRetentionTime = (records: ClaimRecords, options: ShardOptions): number => {
  const others = [...records.values()].filter((record) => record.hostId !== options.hostId);
  const newestMs = others.reduce((latest, record) => Math.max(latest, record.wallMs), 0);
  return Math.min(options.wallMs, newestMs);
};

/** Whether the outcome of the claim is known, so that a later operation can at most add its answer. */
const isOutcomeKnown = ({ status }: ClaimRecord): boolean =>
  status.type === 'finished' && !(status.outcome.type === 'refused' && status.outcome.outcome === 'unknown');

const isAnswerExpired = ({ status }: ClaimRecord, nowMs: number): boolean =>
  status.type === 'finished' && (status.outcome.type === 'dropped' || status.wallMs + ANSWER_RETENTION_MS < nowMs);

const getFinishTime = ([, { status }]: Entry): number => (status.type === 'finished' ? status.wallMs : 0);

/** Typical stored size of a claim in full form without its answer; the size of the whole snapshot is checked later. */
const RECORD_BYTES = 330;

const estimateBytes = ({ status }: ClaimRecord): number =>
  status.type === 'finished' && status.outcome.type === 'answered'
    ? RECORD_BYTES + JSON.stringify(status.outcome.answer).length
    : RECORD_BYTES;

/** Selects the oldest claims with a known outcome, as many as needed so that the others fit into the given size. */
const selectOldest = (entries: readonly Entry[], maxBytes: number): ReadonlySet<Entry> => {
  let sizeBytes = entries.reduce((sum, [, record]) => sum + estimateBytes(record), 0);
  const oldest = entries
    .filter(([, record]) => isOutcomeKnown(record))
    .sort((a, b) => getFinishTime(a) - getFinishTime(b));
  const selected = new Set<Entry>();
  oldest.forEach((entry) => {
    if (sizeBytes > maxBytes) {
      sizeBytes -= estimateBytes(entry[1]);
      selected.add(entry);
    }
  });
  return selected;
};

/** Adds a run. Merges the last runs while they are of similar size, so that there are few of them. */
const addRun = (runs: readonly ClaimRun[], added: ClaimRun): readonly ClaimRun[] => {
  const last = runs.at(-1);
  if (
    last === undefined ||
    last.claims.length > 2 * added.claims.length ||
    added.newestWallMs - last.oldestWallMs > RUN_SPAN_MS
  ) {
    return [...runs, added];
  }
  return addRun(runs.slice(0, -1), mergeRuns([last, added]));
};

/**
 * Converts a shard to its stored snapshot.
 *
 * @param shard - records and segments of the shard
 * @param throughSeq - last log entry that the records include
 * @returns the snapshot
 */
export function toSnapshot(shard: ShardContent, throughSeq: number): ClaimSnapshot {
  return {
    throughSeq,
    records: [...shard.records],
    finished: [],
    runs: [...shard.runs],
    segments: shard.segments.map(({ claims, ...metadata }) => metadata),
    nextSegment: shard.nextSegment,
  };
}

const readLegacyClaims = (snapshot: ClaimSnapshot): readonly ClaimRun[] => {
  const entries = snapshot.finished.map(([keyHash, bodyHash, seconds]): Entry => {
    const wallMs = seconds * MS_PER_SECOND;
    const status = { type: 'finished' as const, outcome: { type: 'dropped' as const }, wallMs };
    return [keyHash, { bodyHash, claimId: '', hostId: '', wallMs, status }];
  });
  return entries.length === 0 ? [] : [encodeRun(entries)];
};

/**
 * Reads the claims of a stored snapshot, including snapshots in the older format without runs.
 *
 * @param snapshot - the snapshot
 * @returns records by key hash, and the runs of finished claims
 */
export function fromSnapshot(snapshot: ClaimSnapshot): Pick<ShardContent, 'records' | 'runs'> {
  return { records: new Map(snapshot.records), runs: [...readLegacyClaims(snapshot), ...snapshot.runs] };
}

const fits = (shard: ShardContent): boolean =>
  JSON.stringify(toSnapshot(shard, Number.MAX_SAFE_INTEGER)).length <= MAX_SNAPSHOT_BYTES;

const sumBytes = (runs: readonly ClaimRun[]): number => runs.reduce((sum, { claims }) => sum + claims.length, 0);

/** Moves the finished claims into a new segment when they exceed the limit and the shard may have another segment. */
const sealIfMany = (shard: ShardContent, options: ShardOptions): CompactedShard => {
  const sizeBytes = sumBytes(shard.runs);
  const { segmentBytes = SEGMENT_BYTES, maxSegments = MAX_SEGMENTS } = options;
  if (sizeBytes <= segmentBytes || shard.segments.length >= maxSegments) {
    return { ...shard, sealed: undefined };
  }
  const sealed = { ...mergeRuns(shard.runs), number: shard.nextSegment };
  const segments = [...shard.segments, sealed];
  return { ...shard, runs: [], segments, nextSegment: shard.nextSegment + 1, sealed };
};

/**
 * Applies retention to a shard, and seals its finished claims into a segment when they exceed the size limit. Answers
 * that do not fit are dropped, the oldest first. An unexpired claim is never dropped, because its key could then run
 * twice.
 *
 * @param shard - records of the snapshot and the log, runs and segments
 * @param options - id of the process, wall time and limits
 * @returns the shard to store, or undefined when it does not fit even without its answers
 */
export default function compactRecords(shard: ShardContent, options: ShardOptions): CompactedShard | undefined {
  const nowMs = readRetentionTime(shard.records, options);
  const isKept = ({ newestWallMs }: ClaimRun): boolean => newestWallMs + CLAIM_RETENTION_MS >= nowMs;
  const unexpired = [...shard.records].filter(([, { wallMs }]) => wallMs + CLAIM_RETENTION_MS >= nowMs);
  const canShorten = ([, record]: Entry): boolean => isOutcomeKnown(record) && isAnswerExpired(record, nowMs);
  const shortened = unexpired.filter(canShorten);
  const others = unexpired.filter((entry) => !canShorten(entry));
  const unexpiredRuns = { runs: shard.runs.filter(isKept), segments: shard.segments.filter(isKept) };
  const compactTo = (maxBytes: number): CompactedShard | undefined => {
    const oldest = selectOldest(others, maxBytes);
    const records = new Map(others.filter((entry) => !oldest.has(entry)));
    const finished = [...shortened, ...oldest];
    const runs = finished.length === 0 ? unexpiredRuns.runs : addRun(unexpiredRuns.runs, encodeRun(finished));
    const compacted = sealIfMany({ ...shard, ...unexpiredRuns, records, runs }, options);
    return fits(compacted) ? compacted : undefined;
  };
  return compactTo(MAX_SNAPSHOT_BYTES - SNAPSHOT_MARGIN_BYTES - sumBytes(unexpiredRuns.runs)) ?? compactTo(0);
}
