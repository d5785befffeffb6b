/** Load reports in the payload of summaries. */
import { decode, encode } from '@msgpack/msgpack';
import { z } from 'zod';
import ProtocolError from './ProtocolError.js';

/** Topic of summaries inside a failure domain. */
export const LOAD_SUMMARY = 'load';
/** Topic of summaries to a representative in another failure domain, which forwards them in its own. */
export const LOAD_EXCHANGE = 'load-exchange';

/** Entries of one summary; with the largest entries and the longest names it fits into a datagram. */
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
const FIELDS = 5;
const AGE_UNIT_MS = 50;

/** Steps for each doubling of the rate; a step of 9% is finer than the rate of a server is steady. */
const RATE_STEPS = 8;

/** Largest rate on the wire, about 4 billion tokens/s; a wrong value behind a valid signature stays finite. */
const MAX_RATE = 255;

const payloadSchema = z
  .tuple([z.literal(FORMAT)], z.int().min(0).max(0xffff_ffff))
  .refine((items) => items.length % FIELDS === 1)
  .transform(([, ...numbers]) => numbers);

/** A count of attempts is sent in one to five bytes. */
const formatCount = (count: number): number => Math.min(0xffff_ffff, Math.round(count));

const formatEntry = (entry: LoadEntry): readonly number[] => [
  entry.serverHash,
  formatCount(entry.running),
  formatCount(entry.queued),
  Math.min(MAX_RATE, Math.round(Math.log2(1 + entry.tokensPerSecond) * RATE_STEPS)),
  // Rounded up, so that a report gets no younger on its way.
  formatCount(Math.ceil(Math.max(0, entry.ageMs) / AGE_UNIT_MS)),
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
 * @throws ProtocolError `malformed` for anything else
 * @example
 * decodeLoadSummary(item.payload).forEach(note);
 */
export function decodeLoadSummary(payload: Uint8Array): readonly LoadEntry[] {
  let numbers: readonly number[];
  try {
    numbers = payloadSchema.parse(decode(payload));
  } catch (cause) {
    throw new ProtocolError('malformed', 'the payload is not a load summary', { cause });
  }
  return Array.from({ length: numbers.length / FIELDS }, (_, index) => {
    const [serverHash = 0, running = 0, queued = 0, rate = 0, age = 0] = numbers.slice(index * FIELDS);
    return {
      serverHash,
      running,
      queued,
      tokensPerSecond: 2 ** (Math.min(MAX_RATE, rate) / RATE_STEPS) - 1,
      ageMs: age * AGE_UNIT_MS,
    };
  });
}
