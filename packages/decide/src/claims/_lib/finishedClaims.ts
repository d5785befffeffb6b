import type { ClaimRecord } from '@bergamotcove/protocol';
import type { ClaimRecords, Segment } from '../types.js';

/**
 * 16 characters of base64url are 96 bits: among the 620,000 claims that one shard holds at the target rate, a foreign
 * key matches with a probability below 1e-22.
 */
const KEY_CHARS = 16;

/** 36 bits; a wrong match only turns the refusal for another body into the refusal for a resend. */
const BODY_CHARS = 6;

/** Seconds in base 36; seven digits reach beyond the year 4000. */
const TIME_CHARS = 7;

const RADIX = 36;
const MS_PER_SECOND = 1_000;
const PADDING = '.';
const SHORT_FORM = '-';
const SEALED_CHARS = KEY_CHARS + BODY_CHARS;

/** Characters of one finished claim in a snapshot. */
export const FINISHED_CHARS = SEALED_CHARS + TIME_CHARS;

const fit = (hash: string, chars: number): string => hash.slice(0, chars).padEnd(chars, PADDING);

const readHash = (text: string): string => text.replace(/\.+$/, '');

/** Key under which a finished claim in short form is kept. */
export const shortKey = (keyHash: string): string => keyHash.slice(0, KEY_CHARS);

/** Body hash of a claim in short form. */
export const shortBody = (bodyHash: string): string => bodyHash.slice(0, BODY_CHARS);

/** Whether the claim is kept in short form: it ran, and its answer, its claim id and its host are dropped. */
export const isShortForm = (record: ClaimRecord): boolean => record.hostId === SHORT_FORM;

/** Short form of a finished claim. */
export const toShortForm = (bodyHash: string, wallMs: number): ClaimRecord => {
  const status = { type: 'finished' as const, outcome: { type: 'dropped' as const }, wallMs };
  return { bodyHash: shortBody(bodyHash), claimId: SHORT_FORM, hostId: SHORT_FORM, wallMs, status };
};

const cut = (text: string, width: number): readonly string[] =>
  Array.from({ length: Math.floor(text.length / width) }, (_, index) => text.slice(index * width, (index + 1) * width));

/**
 * Encodes finished claims for a snapshot, {@link FINISHED_CHARS} characters each.
 *
 * @param records - finished claims by key
 * @returns the text
 */
export function encodeFinished(records: ClaimRecords): string {
  return [...records]
    .map(([key, { bodyHash, wallMs }]) => {
      const seconds = Math.floor(wallMs / MS_PER_SECOND).toString(RADIX);
      return fit(key, KEY_CHARS) + fit(bodyHash, BODY_CHARS) + seconds.padStart(TIME_CHARS, '0');
    })
    .join('');
}

/**
 * Decodes the finished claims of a snapshot.
 *
 * @param text - text of {@link encodeFinished}
 * @returns short forms by short key
 */
export function decodeFinished(text: string): ClaimRecords {
  return new Map(
    cut(text, FINISHED_CHARS).map((item): [string, ClaimRecord] => {
      const wallMs = parseInt(item.slice(SEALED_CHARS), RADIX) * MS_PER_SECOND;
      return [readHash(item.slice(0, KEY_CHARS)), toShortForm(readHash(item.slice(KEY_CHARS, SEALED_CHARS)), wallMs)];
    }),
  );
}

/**
 * Encodes finished claims as the text of a sealed segment: key and body hashes, sorted, without times.
 *
 * @param records - finished claims by key
 * @returns the text
 */
export function sealFinished(records: ClaimRecords): string {
  return [...records]
    .map(([key, { bodyHash }]) => fit(key, KEY_CHARS) + fit(bodyHash, BODY_CHARS))
    .sort()
    .join('');
}

/**
 * Counts the claims of a segment.
 *
 * @param segment - the segment
 * @returns number of claims
 */
export function countSealed(segment: Segment): number {
  return segment.claims.length / SEALED_CHARS;
}

/**
 * Finds a key in a sealed segment by binary search, so that an owner keeps the text and no object per claim.
 *
 * @param segment - the segment
 * @param keyHash - hash of the key
 * @returns the short form of the claim, or undefined
 */
export function findSealed(segment: Segment, keyHash: string): ClaimRecord | undefined {
  const key = fit(keyHash, KEY_CHARS);
  let low = 0;
  let high = countSealed(segment);
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    const at = middle * SEALED_CHARS;
    const found = segment.claims.slice(at, at + KEY_CHARS);
    if (found === key) {
      const body = segment.claims.slice(at + KEY_CHARS, at + SEALED_CHARS);
      return toShortForm(readHash(body), segment.newestWallMs);
    }
    if (found < key) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return undefined;
}
