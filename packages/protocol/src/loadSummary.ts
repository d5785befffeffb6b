/** Encoding of load reports in the payload of summary messages. */
import { decode, encode } from '@msgpack/msgpack';
import { z } from 'zod';
import ProtocolError from './ProtocolError.js';

/** Topic of summaries inside a failure domain. */
export const LOAD_SUMMARY = 'load';
/** Topic of summaries to a representative in another failure domain, which forwards them within its domain. */
export const LOAD_EXCHANGE = 'load-exchange';

/** Maximum number of entries in one summary; it fits into a datagram even with the largest values and longest names. */
export const MAX_LOAD_ENTRIES = 40;

/** Load of one backend server in a summary. */
export interface LoadEntry {
  /** Hash of the server id. */
  readonly serverHash: number;
  readonly running: number;
  readonly queued: number;
  readonly tokensPerSecond: number;
  /** Age at the time of sending; clocks of hosts differ, so no wall times are sent. */
  readonly ageMs: number;
}

const FORMAT = 1;
const FIELDS_PER_ENTRY = 5;
const AGE_UNIT_MS = 50;

/** Steps per doubling of the rate; one step of 9% is smaller than the usual variation of the rate of a server. */
const RATE_STEPS = 8;

/** Largest encoded rate, about 4 billion tokens/s; it keeps a wrong value in a signed message finite. */
const MAX_ENCODED_RATE = 255;

const payloadSchema = z
  .tuple([z.literal(FORMAT)], z.int().min(0).max(0xffff_ffff))
  .refine((items) => items.length % FIELDS_PER_ENTRY === 1)
  .transform(([, ...numbers]) => numbers);

/** Rounds to an unsigned 32-bit integer, which takes one to five bytes. */
const toUint32 = (count: number): number => Math.min(0xffff_ffff, Math.round(count));

const formatEntry = (entry: LoadEntry): readonly number[] => [
  entry.serverHash,
  toUint32(entry.running),
  toUint32(entry.queued),
  Math.min(MAX_ENCODED_RATE, Math.round(Math.log2(1 + entry.tokensPerSecond) * RATE_STEPS)),
  // Rounded up, so that the decoded age is never below the real one.
  toUint32(Math.ceil(Math.max(0, entry.ageMs) / AGE_UNIT_MS)),
];

/**
 * Encodes load reports.
 *
 * @param entries - at most {@link MAX_LOAD_ENTRIES} entries
 * @returns the payload of a summary
 * @throws ProtocolError `too-large` for more entries
 * @example
 * membership.broadcastSummary(LOAD_SUMMARY, encodeLoadSummary(entries));
 */
export function encodeLoadSummary(entries: readonly LoadEntry[]): Uint8Array {
  if (entries.length > MAX_LOAD_ENTRIES) {
    throw new ProtocolError('too-large', `a summary of ${entries.length} servers exceeds ${MAX_LOAD_ENTRIES}`);
  }
  return encode([FORMAT, ...entries.flatMap(formatEntry)]);
}

/**
 * Decodes load reports.
 *
 * @param payload - payload of a summary
 * @returns the entries
 * @throws ProtocolError `malformed` when the payload is not a load summary
 * @example
 * decodeLoadSummary(item.payload).forEach(recordLoad);
 */
export function decodeLoadSummary(payload: Uint8Array): readonly LoadEntry[] {
  let numbers: readonly number[];
  try {
    numbers = payloadSchema.parse(decode(payload));
  } catch (cause) {
    throw new ProtocolError('malformed', 'the payload is not a load summary', { cause });
  }
  return Array.from({ length: numbers.length / FIELDS_PER_ENTRY }, (_, index) => {
    const [serverHash = 0, running = 0, queued = 0, rate = 0, age = 0] = numbers.slice(index * FIELDS_PER_ENTRY);
    return {
      serverHash,
      running,
      queued,
      tokensPerSecond: 2 ** (Math.min(MAX_ENCODED_RATE, rate) / RATE_STEPS) - 1,
      ageMs: age * AGE_UNIT_MS,
    };
  });
}
