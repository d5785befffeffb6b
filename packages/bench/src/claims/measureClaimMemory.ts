import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { CLAIM_RETENTION_MS, compactRecords, toSnapshot, type ShardContent } from '@bergamotcove/decide';
import type { ClaimRecord } from '@bergamotcove/protocol';

/** Memory and storage that the claims of one shard need after 24 hours at one request rate. */
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
  /** Duration of the longest compaction, which blocks the event loop of the shard owner. */
  readonly compactionMs: number;
}

const SHARDS = 64;
const MS_PER_SECOND = 1_000;
/** Compaction interval: the time in which 256 log entries arrive at the target rate. */
const STEP_MS = 60_000;

const measureHeapAfterGc = (): number => {
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

/** Fills one shard with the claims of 24 hours and compacts it after each step. */
const fillShard = (claimsPerStep: number) => {
  let shard: ShardContent = { records: new Map(), runs: [], segments: [], nextSegment: 1 };
  let claims = 0;
  let longestCompactionMs = 0;
  for (let wallMs = 0; wallMs < CLAIM_RETENTION_MS; wallMs += STEP_MS) {
    const end = Math.round((wallMs / STEP_MS + 1) * claimsPerStep);
    const records = new Map(shard.records);
    for (; claims < end; claims += 1) {
      const [key, record] = makeClaim(claims, wallMs);
      records.set(key, record);
    }
    const startedAtMs = performance.now();
    const options = { hostId: 'owner', wallMs, maxSegments: Infinity };
    shard = compactRecords({ ...shard, records }, options) ?? shard;
    longestCompactionMs = Math.max(longestCompactionMs, performance.now() - startedAtMs);
  }
  return { shard, claims, longestCompactionMs };
};

/**
 * Measures the heap of the owner and the bytes in the store that the claims of one shard need after 24 hours.
 *
 * @param ratePerSecond - non-idempotent requests/s of the whole deployment
 * @returns sizes in bytes and the longest compaction of one shard
 */
export default function measureClaimMemory(ratePerSecond: number): ClaimMemoryRow {
  const heapBytesBefore = measureHeapAfterGc();
  const { shard, claims, longestCompactionMs } = fillShard((ratePerSecond / SHARDS) * (STEP_MS / MS_PER_SECOND));
  const heapBytes = measureHeapAfterGc() - heapBytesBefore;
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
    compactionMs: Math.round(longestCompactionMs),
  };
}
