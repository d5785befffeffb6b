import type { ClaimRecord, ClaimSnapshot } from '@bergamotcove/protocol';
import { ANSWER_RETENTION_MS, CLAIM_RETENTION_MS, MAX_SNAPSHOT_BYTES } from './constants.js';
import type { ClaimRecords, ShardOptions } from './types.js';

const MS_PER_SECOND = 1_000;
const SHORT_FORM = '-';

/**
 * Time that retention counts from. A host whose wall clock was stepped forward must not drop claims early, therefore
 * the time never exceeds the newest claim of another host.
 */
const readRetentionTime = (records: ClaimRecords, options: ShardOptions): number => {
  const others = [...records.values()].filter(
    (record) => record.hostId !== options.hostId && record.hostId !== SHORT_FORM,
  );
  const newestMs = others.reduce((latest, record) => Math.max(latest, record.wallMs), 0);
  return Math.min(options.wallMs, newestMs);
};

const dropAnswer = (record: ClaimRecord): ClaimRecord =>
  record.status.type === 'finished' && record.status.outcome.type === 'answered'
    ? { ...record, status: { ...record.status, outcome: { type: 'dropped' } } }
    : record;

const retain = (record: ClaimRecord, nowMs: number): ClaimRecord | undefined => {
  if (record.wallMs + CLAIM_RETENTION_MS < nowMs) {
    return undefined;
  }
  const expired = record.status.type === 'finished' && record.status.wallMs + ANSWER_RETENTION_MS < nowMs;
  return expired ? dropAnswer(record) : record;
};

const isShort = (record: ClaimRecord): boolean =>
  record.status.type === 'finished' && record.status.outcome.type === 'dropped';

/**
 * Converts records to the form that is stored in a snapshot.
 *
 * @param records - records of the shard
 * @param throughSeq - last log entry that the records include
 * @returns the snapshot
 */
export function toSnapshot(records: ClaimRecords, throughSeq: number): ClaimSnapshot {
  const entries = [...records];
  return {
    throughSeq,
    records: entries.filter(([, record]) => !isShort(record)),
    finished: entries
      .filter(([, record]) => isShort(record))
      .map(([keyHash, record]) => [keyHash, record.bodyHash, Math.floor(record.wallMs / MS_PER_SECOND)]),
  };
}

/**
 * Reads the records of a stored snapshot.
 *
 * @param snapshot - the snapshot
 * @returns records by key hash
 */
export function fromSnapshot(snapshot: ClaimSnapshot): ClaimRecords {
  const finished = snapshot.finished.map(([keyHash, bodyHash, seconds]): [string, ClaimRecord] => {
    const wallMs = seconds * MS_PER_SECOND;
    const status = { type: 'finished' as const, outcome: { type: 'dropped' as const }, wallMs };
    return [keyHash, { bodyHash, claimId: SHORT_FORM, hostId: SHORT_FORM, wallMs, status }];
  });
  return new Map([...snapshot.records, ...finished]);
}

const fits = (records: ClaimRecords): boolean =>
  JSON.stringify(toSnapshot(records, Number.MAX_SAFE_INTEGER)).length <= MAX_SNAPSHOT_BYTES;

/**
 * Applies retention to the records of a shard. If they do not fit into one snapshot, all answers are dropped; an
 * unexpired claim is never dropped, because its key could then run twice.
 *
 * @param records - records of the snapshot and the log
 * @param options - host and wall time
 * @returns the records to keep, or undefined when they do not fit even without answers
 */
export default function compactRecords(records: ClaimRecords, options: ShardOptions): ClaimRecords | undefined {
  const nowMs = readRetentionTime(records, options);
  const kept = [...records].flatMap(([keyHash, record]): [string, ClaimRecord][] => {
    const retained = retain(record, nowMs);
    return retained === undefined ? [] : [[keyHash, retained]];
  });
  const whole = new Map(kept);
  if (fits(whole)) {
    return whole;
  }
  const short = new Map(kept.map(([keyHash, record]) => [keyHash, dropAnswer(record)]));
  return fits(short) ? short : undefined;
}
