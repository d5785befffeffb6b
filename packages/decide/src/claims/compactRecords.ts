import type { ClaimRecord, ClaimSnapshot } from '@bergamotcove/protocol';
import {
  ANSWER_RETENTION_MS,
  ANSWERS_BYTES,
  CLAIM_RETENTION_MS,
  MAX_SEGMENTS,
  MAX_SNAPSHOT_BYTES,
  SEGMENT_BYTES,
} from './constants.js';
import {
  decodeFinished,
  encodeFinished,
  FINISHED_CHARS,
  isShortForm,
  sealFinished,
  shortKey,
  toShortForm,
} from './_lib/finishedClaims.js';
import type { ClaimRecords, CompactedShard, Segment, ShardContent, ShardOptions } from './types.js';

const MS_PER_SECOND = 1_000;

type Entry = readonly [string, ClaimRecord];

/**
 * Time that retention counts from. A host whose wall clock was stepped forward must not drop claims early, therefore
 * the time never exceeds the newest claim of another host.
 */
const readRetentionTime = (records: ClaimRecords, options: ShardOptions): number => {
  const others = [...records.values()].filter((record) => record.hostId !== options.hostId && !isShortForm(record));
  const newestMs = others.reduce((latest, record) => Math.max(latest, record.wallMs), 0);
  return Math.min(options.wallMs, newestMs);
};

/** Whether the claim ran and no later operation can tell more than its answer. */
const isSettled = ({ status }: ClaimRecord): boolean =>
  status.type === 'finished' && !(status.outcome.type === 'refused' && status.outcome.outcome === 'unknown');

const shorten = ([keyHash, record]: Entry): Entry =>
  isShortForm(record) ? [keyHash, record] : [shortKey(keyHash), toShortForm(record.bodyHash, record.wallMs)];

const isAnswerExpired = ({ status }: ClaimRecord, nowMs: number): boolean =>
  status.type === 'finished' && (status.outcome.type === 'dropped' || status.wallMs + ANSWER_RETENTION_MS < nowMs);

const retain = ([keyHash, record]: Entry, nowMs: number): readonly Entry[] => {
  if (record.wallMs + CLAIM_RETENTION_MS < nowMs) {
    return [];
  }
  return [isSettled(record) && isAnswerExpired(record, nowMs) ? shorten([keyHash, record]) : [keyHash, record]];
};

const endOf = ([, { status }]: Entry): number => (status.type === 'finished' ? status.wallMs : 0);

/** Upper bound of the stored size of a claim in full form without its answer; ids have at most 128 characters. */
const RECORD_BYTES = 400;

const measure = ({ status }: ClaimRecord): number =>
  status.type === 'finished' && status.outcome.type === 'answered'
    ? RECORD_BYTES + JSON.stringify(status.outcome.answer).length
    : RECORD_BYTES;

/** Shortens the oldest settled claims until the claims in full form take at most the given size. */
const shortenOldest = (entries: readonly Entry[], maxBytes: number): readonly Entry[] => {
  const full = entries.filter(([, record]) => !isShortForm(record));
  const sizes = new Map(full.map((entry) => [entry, measure(entry[1])]));
  let sizeBytes = [...sizes.values()].reduce((sum, size) => sum + size, 0);
  const oldest = [...sizes.keys()].filter(([, record]) => isSettled(record)).sort((a, b) => endOf(a) - endOf(b));
  const shortened = new Set<Entry>();
  oldest.forEach((entry) => {
    if (sizeBytes > maxBytes) {
      sizeBytes -= sizes.get(entry) ?? 0;
      shortened.add(entry);
    }
  });
  return entries.map((entry) => (shortened.has(entry) ? shorten(entry) : entry));
};

/**
 * Converts a shard to the form that is stored in its snapshot.
 *
 * @param shard - records and segments of the shard
 * @param throughSeq - last log entry that the records include
 * @returns the snapshot
 */
export function toSnapshot(shard: ShardContent, throughSeq: number): ClaimSnapshot {
  const entries = [...shard.records];
  return {
    throughSeq,
    records: entries.filter(([, record]) => !isShortForm(record)),
    finished: [],
    ended: encodeFinished(new Map(entries.filter(([, record]) => isShortForm(record)))),
    segments: shard.segments.map(({ number, newestWallMs }) => ({ number, newestWallMs })),
    nextSegment: shard.nextSegment,
  };
}

/**
 * Reads the records of a stored snapshot, also of the form before segments.
 *
 * @param snapshot - the snapshot
 * @returns records by key hash
 */
export function fromSnapshot(snapshot: ClaimSnapshot): ClaimRecords {
  const finished = snapshot.finished.map(([keyHash, bodyHash, seconds]): Entry => [
    shortKey(keyHash),
    toShortForm(bodyHash, seconds * MS_PER_SECOND),
  ]);
  return new Map([...snapshot.records, ...finished, ...decodeFinished(snapshot.ended)]);
}

const fits = (shard: ShardContent): boolean =>
  JSON.stringify(toSnapshot(shard, Number.MAX_SAFE_INTEGER)).length <= MAX_SNAPSHOT_BYTES;

const seal = (short: readonly Entry[], number: number): Segment => ({
  number,
  newestWallMs: short.reduce((newest, [, { wallMs }]) => Math.max(newest, wallMs), 0),
  claims: sealFinished(new Map(short)),
});

/** Moves the finished claims into a new segment when they are many and the shard may have one more. */
const sealIfMany = (shard: ShardContent, options: ShardOptions): CompactedShard => {
  const short = [...shard.records].filter(([, record]) => isShortForm(record));
  const limitBytes = options.segmentBytes ?? SEGMENT_BYTES;
  if (short.length * FINISHED_CHARS <= limitBytes || shard.segments.length >= (options.maxSegments ?? MAX_SEGMENTS)) {
    return { ...shard, sealed: undefined };
  }
  const sealed = seal(short, shard.nextSegment);
  return {
    records: new Map([...shard.records].filter(([, record]) => !isShortForm(record))),
    segments: [...shard.segments, sealed],
    nextSegment: shard.nextSegment + 1,
    sealed,
  };
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
  const kept = [...shard.records].flatMap((entry) => retain(entry, nowMs));
  const segments = shard.segments.filter(({ newestWallMs }) => newestWallMs + CLAIM_RETENTION_MS >= nowMs);
  const compact = (maxBytes: number): CompactedShard =>
    sealIfMany({ ...shard, records: new Map(shortenOldest(kept, maxBytes)), segments }, options);
  return [ANSWERS_BYTES, 0].map(compact).find(fits);
}
