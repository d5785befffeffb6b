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
 * Time that retention counts from. A host whose wall clock was stepped forward must not drop claims early, therefore
 * the time never exceeds the newest claim of another host.
 */
const readRetentionTime = (records: ClaimRecords, options: ShardOptions): number => {
  const others = [...records.values()].filter((record) => record.hostId !== options.hostId);
  const newestMs = others.reduce((latest, record) => Math.max(latest, record.wallMs), 0);
  return Math.min(options.wallMs, newestMs);
};

/** Whether the claim ran and no later operation can tell more than its answer. */
const isSettled = ({ status }: ClaimRecord): boolean =>
  status.type === 'finished' && !(status.outcome.type === 'refused' && status.outcome.outcome === 'unknown');

const isAnswerExpired = ({ status }: ClaimRecord, nowMs: number): boolean =>
  status.type === 'finished' && (status.outcome.type === 'dropped' || status.wallMs + ANSWER_RETENTION_MS < nowMs);

const endOf = ([, { status }]: Entry): number => (status.type === 'finished' ? status.wallMs : 0);

/** Usual stored size of a claim in full form without its answer; the size of the whole snapshot is checked after. */
const RECORD_BYTES = 330;

const measure = ({ status }: ClaimRecord): number =>
  status.type === 'finished' && status.outcome.type === 'answered'
    ? RECORD_BYTES + JSON.stringify(status.outcome.answer).length
    : RECORD_BYTES;

/** Oldest settled claims, so many that the others take at most the given size. */
const takeOldest = (entries: readonly Entry[], maxBytes: number): ReadonlySet<Entry> => {
  let sizeBytes = entries.reduce((sum, [, record]) => sum + measure(record), 0);
  const oldest = entries.filter(([, record]) => isSettled(record)).sort((a, b) => endOf(a) - endOf(b));
  const taken = new Set<Entry>();
  oldest.forEach((entry) => {
    if (sizeBytes > maxBytes) {
      sizeBytes -= measure(entry[1]);
      taken.add(entry);
    }
  });
  return taken;
};

/** Adds a run; the last runs are merged while they are of similar size, so that their number stays small. */
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
 * Converts a shard to the form that is stored in its snapshot.
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
    segments: shard.segments.map(({ claims, ...place }) => place),
    nextSegment: shard.nextSegment,
  };
}

const readOldForm = (snapshot: ClaimSnapshot): readonly ClaimRun[] => {
  const entries = snapshot.finished.map(([keyHash, bodyHash, seconds]): Entry => {
    const wallMs = seconds * MS_PER_SECOND;
    const status = { type: 'finished' as const, outcome: { type: 'dropped' as const }, wallMs };
    return [keyHash, { bodyHash, claimId: '', hostId: '', wallMs, status }];
  });
  return entries.length === 0 ? [] : [encodeRun(entries)];
};

/**
 * Reads the claims of a stored snapshot, also of the form before runs.
 *
 * @param snapshot - the snapshot
 * @returns records by key hash, and the finished claims
 */
export function fromSnapshot(snapshot: ClaimSnapshot): Pick<ShardContent, 'records' | 'runs'> {
  return { records: new Map(snapshot.records), runs: [...readOldForm(snapshot), ...snapshot.runs] };
}

const fits = (shard: ShardContent): boolean =>
  JSON.stringify(toSnapshot(shard, Number.MAX_SAFE_INTEGER)).length <= MAX_SNAPSHOT_BYTES;

const sumBytes = (runs: readonly ClaimRun[]): number => runs.reduce((sum, { claims }) => sum + claims.length, 0);

/** Moves the finished claims into a new segment when they are many and the shard may have one more. */
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
 * Applies retention to a shard and seals finished claims into a segment when they exceed the size of one. Answers
 * that do not fit are dropped, the oldest first; an unexpired claim is never dropped, because its key could then run
 * twice.
 *
 * @param shard - records of the snapshot and the log, and the segments
 * @param options - host, wall time and limits
 * @returns the shard to store, or undefined when it does not fit even without answers
 */
export default function compactRecords(shard: ShardContent, options: ShardOptions): CompactedShard | undefined {
  const nowMs = readRetentionTime(shard.records, options);
  const isKept = ({ newestWallMs }: ClaimRun): boolean => newestWallMs + CLAIM_RETENTION_MS >= nowMs;
  const unexpired = [...shard.records].filter(([, { wallMs }]) => wallMs + CLAIM_RETENTION_MS >= nowMs);
  const isEnded = ([, record]: Entry): boolean => isSettled(record) && isAnswerExpired(record, nowMs);
  const ended = unexpired.filter(isEnded);
  const others = unexpired.filter((entry) => !isEnded(entry));
  const rest = { runs: shard.runs.filter(isKept), segments: shard.segments.filter(isKept) };
  const compactTo = (maxBytes: number): CompactedShard | undefined => {
    const oldest = takeOldest(others, maxBytes);
    const records = new Map(others.filter((entry) => !oldest.has(entry)));
    const finished = [...ended, ...oldest];
    const runs = finished.length === 0 ? rest.runs : addRun(rest.runs, encodeRun(finished));
    const compacted = sealIfMany({ ...shard, ...rest, records, runs }, options);
    return fits(compacted) ? compacted : undefined;
  };
  return compactTo(MAX_SNAPSHOT_BYTES - SNAPSHOT_MARGIN_BYTES - sumBytes(rest.runs)) ?? compactTo(0);
}
