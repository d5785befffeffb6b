/** Claims of idempotency keys: entries of the shard logs and calls between entry hosts. */
import { z } from 'zod';

/** Method that appends operations to shard logs on behalf of another host. */
export const CLAIMS_APPEND = 'claims.append';
/** Method that asks a host for the state of a key. */
export const CLAIMS_QUERY = 'claims.query';

const hashSchema = z.string().min(1).max(64);
const idSchema = z.string().min(1).max(128);
const wallMsSchema = z.number();

/** Durable outcome of a claimed request. */
export const recordedOutcomeSchema = z.discriminatedUnion('type', [
  /** The complete answer, as JSON text. */
  z.strictObject({ type: z.literal('answered'), answer: z.string() }),
  /** The request ran; its answer was too large to keep or was deleted after its retention time. */
  z.strictObject({ type: z.literal('dropped') }),
  /** The request ended without an answer. */
  z.strictObject({ type: z.literal('refused'), outcome: z.enum(['ran', 'unknown']), reason: z.string() }),
]);

/** One change of a claim. Every operation takes effect at most once, however often it is appended. */
export const claimOpSchema = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('claim'),
    keyHash: hashSchema,
    bodyHash: hashSchema,
    claimId: idSchema,
    hostId: idSchema,
    wallMs: wallMsSchema,
  }),
  z.strictObject({
    type: z.literal('outcome'),
    keyHash: hashSchema,
    claimId: idSchema,
    outcome: recordedOutcomeSchema,
    wallMs: wallMsSchema,
  }),
  /**
   * The claimed call was certainly never sent; the key may be claimed again, but not under this claim id. A release
   * that is appended before its claim prevents the claim from taking effect later.
   */
  z.strictObject({
    type: z.literal('release'),
    keyHash: hashSchema,
    bodyHash: hashSchema,
    claimId: idSchema,
    hostId: idSchema,
    wallMs: wallMsSchema,
  }),
]);

/** One entry of a shard log. */
export const logEntrySchema = z.strictObject({ entryId: idSchema, ops: z.array(claimOpSchema) });

const claimStatusSchema = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('open') }),
  z.strictObject({ type: z.literal('released') }),
  z.strictObject({ type: z.literal('finished'), outcome: recordedOutcomeSchema, wallMs: wallMsSchema }),
]);

/** State of one key according to the shard log. */
export const claimRecordSchema = z.strictObject({
  bodyHash: hashSchema,
  claimId: idSchema,
  /** Id of the process that may send the call; it changes when the host restarts. */
  hostId: idSchema,
  wallMs: wallMsSchema,
  status: claimStatusSchema,
});

const timeRange = { oldestWallMs: wallMsSchema, newestWallMs: wallMsSchema };

/** Compacted prefix of a shard log. */
export const claimSnapshotSchema = z.strictObject({
  throughSeq: z.int().min(0),
  records: z.array(z.tuple([hashSchema, claimRecordSchema])),
  /** Finished claims in the format before `runs`: key hash, body hash, wall time in seconds; read, not written. */
  finished: z.array(z.tuple([hashSchema, hashSchema, z.number()])).default([]),
  /** Finished claims without an answer, oldest first, as sorted text of fixed-width hashes. */
  runs: z.array(z.strictObject({ ...timeRange, claims: z.string() })).default([]),
  /** Sealed segments of the shard, oldest first. */
  segments: z.array(z.strictObject({ ...timeRange, number: z.int().min(1) })).default([]),
  /** Number of the next segment; a number is never used twice. */
  nextSegment: z.int().min(1).default(1),
});

/** Result of one operation. */
export const claimOpResultSchema = z.discriminatedUnion('type', [
  /** The operation is durable or needed no change; after a claim, the key belongs to its claim id. */
  z.strictObject({ type: z.literal('done') }),
  /** The key belongs to another claim, or this claim was already released. */
  z.strictObject({ type: z.literal('taken'), record: claimRecordSchema }),
  /** The snapshot of the shard has no room for more claims. */
  z.strictObject({ type: z.literal('full') }),
  /**
   * Not confirmed within the time limit. `mayApply` says whether the operation may still take effect. `busy` says that
   * the store answers this host and the operation is only queued; its expected waiting time is `queueMs`.
   */
  z.strictObject({
    type: z.literal('unavailable'),
    mayApply: z.boolean(),
    busy: z.boolean().default(false),
    queueMs: z.number().min(0).default(0),
  }),
]);

/** Parameters of {@link CLAIMS_APPEND}. */
export const claimsAppendSchema = z.strictObject({
  op: claimOpSchema,
  waitMs: z.number().min(0),
  /** The sender is shutting down: the receiver answers at once and retries the operation until it is durable. */
  handOver: z.boolean().default(false),
});

/** Parameters of {@link CLAIMS_QUERY}. */
export const claimsQuerySchema = z.strictObject({
  keyHash: hashSchema,
  /** `log`: the state in the shard log; `claimant`: the state of this claim id in the claiming process itself. */
  about: z.discriminatedUnion('type', [
    z.strictObject({ type: z.literal('log'), refresh: z.boolean() }),
    z.strictObject({ type: z.literal('claimant'), claimId: idSchema }),
  ]),
  waitMs: z.number().min(0),
});

/** Answer to {@link CLAIMS_QUERY}. */
export const claimsAnswerSchema = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('free') }),
  z.strictObject({ type: z.literal('record'), record: claimRecordSchema }),
  /** The claiming process still runs the request. */
  z.strictObject({ type: z.literal('running') }),
  /** The claiming process has the outcome, durable or not. */
  z.strictObject({ type: z.literal('outcome'), outcome: recordedOutcomeSchema }),
  /** The claiming process abandoned the claim without sending the call; the claim can be released. */
  z.strictObject({ type: z.literal('never-sent') }),
  /** This process does not know the claim. */
  z.strictObject({ type: z.literal('absent') }),
  z.strictObject({ type: z.literal('unavailable') }),
]);

export type RecordedOutcome = Readonly<z.output<typeof recordedOutcomeSchema>>;
export type ClaimOp = Readonly<z.output<typeof claimOpSchema>>;
export type LogEntry = Readonly<z.output<typeof logEntrySchema>>;
export type ClaimRecord = Readonly<z.output<typeof claimRecordSchema>>;
export type ClaimSnapshot = Readonly<z.output<typeof claimSnapshotSchema>>;
export type ClaimOpResult = Readonly<z.output<typeof claimOpResultSchema>>;
export type ClaimsAppend = Readonly<z.output<typeof claimsAppendSchema>>;
export type ClaimsQuery = Readonly<z.output<typeof claimsQuerySchema>>;
export type ClaimsAnswer = Readonly<z.output<typeof claimsAnswerSchema>>;
