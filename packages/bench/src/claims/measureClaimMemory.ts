import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { CLAIM_RETENTION_MS, compactRecords, toSnapshot, type ShardContent } from '@bergamotcove/decide';
import type { ClaimRecord } from '@bergamotcove/protocol';

/** What the claims of one shard cost after 24 hours at one rate. */
export interface ClaimMemoryRow {
  /** Non-idempotent requests/s of the whole deployment. */
  readonly ratePerSecond: number;
  readonly claims: number;
  readonly segments: number;
  readonly snapshotBytes: number;
  readonly segmentBytes: number;
  readonly heapBytes: number;
  readonly heapBytesPerClaim: number;
  readonly storeBytesPerClaim: number;
  /** Longest compaction, which holds up the event loop of the owner. */
  readonly compactionMs: number;
}

const SHARDS = 64;
const MS_PER_SECOND = 1_000;
/** A compaction each minute, as often as 256 entries come at the target rate. */
const STEP_MS = 60_000;

const collectGarbage = (): number => {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  return process.memoryUsage().heapUsed;
};

const makeHash = (index: number): string => Buffer.from(`${index}`.padEnd(17, 'x')).toString('base64url').slice(0, 22);

const makeClaim = (index: number, wallMs: number): [string, ClaimRecord] => {
  const outcome = { type: 'answered' as const, answer: JSON.stringify({ receipt: index, state: 'posted' }) };
  const status = { type: 'finished' as const, outcome, wallMs };
  const claimId = `7b7a2a52-6d38-4a5c-9d43-${String(index).padStart(12, '0')}`;
  return [makeHash(index), { bodyHash: makeHash(index), claimId, hostId: 'entry-1/0a1b2c3d', wallMs, status }];
};

/** Runs 24 hours of one shard. */
const fillShard = (perStep: number) => {
  let shard: ShardContent = { records: new Map(), runs: [], segments: [], nextSegment: 1 };
  let claims = 0;
  let longestMs = 0;
  for (let wallMs = 0; wallMs < CLAIM_RETENTION_MS; wallMs += STEP_MS) {
    const end = Math.round((wallMs / STEP_MS + 1) * perStep);
    const records = new Map(shard.records);
    for (; claims < end; claims += 1) {
      const [key, record] = makeClaim(claims, wallMs);
      records.set(key, record);
    }
    const startedAtMs = performance.now();
    const options = { hostId: 'owner', wallMs, maxSegments: Infinity };
    shard = compactRecords({ ...shard, records }, options) ?? shard;
    longestMs = Math.max(longestMs, performance.now() - startedAtMs);
  }
  return { shard, claims, longestMs };
};

/**
 * Measures what the claims of one shard cost its owner and the store after 24 hours.
 *
 * @param ratePerSecond - non-idempotent requests/s of the whole deployment
 * @returns the figures of one shard
 */
export default function measureClaimMemory(ratePerSecond: number): ClaimMemoryRow {
  const before = collectGarbage();
  const { shard, claims, longestMs } = fillShard((ratePerSecond / SHARDS) * (STEP_MS / MS_PER_SECOND));
  const heapBytes = collectGarbage() - before;
  const snapshotBytes = JSON.stringify(toSnapshot(shard, 1)).length;
  const segmentBytes = shard.segments.reduce((sum, segment) => sum + segment.claims.length, 0);
  return {
    ratePerSecond,
    claims,
    segments: shard.segments.length,
    snapshotBytes,
    segmentBytes,
    heapBytes,
    heapBytesPerClaim: Math.round((heapBytes / claims) * 10) / 10,
    storeBytesPerClaim: Math.round(((snapshotBytes + segmentBytes) / claims) * 10) / 10,
    compactionMs: Math.round(longestMs),
  };
}
