import type { ClaimRecord } from '@bergamotcove/protocol';
import type { ClaimRun } from '../types.js';

/**
 * Length of a shortened key hash. 16 characters of base64url are 96 bits: another key matches one of the 620,000 claims
 * that a shard holds at the target rate with a probability below 1e-22.
 */
const KEY_CHARS = 16;

/**
 * Length of a shortened body hash, 36 bits. A false match only refuses a request with another body as if it were a
 * resend.
 */
const BODY_CHARS = 6;

const PADDING = '.';
const SHORT_FORM_MARKER = '-';
const CLAIM_CHARS = KEY_CHARS + BODY_CHARS;

const padHash = (hash: string, chars: number): string => hash.slice(0, chars).padEnd(chars, PADDING);

const trimPadding = (text: string): string => text.replace(/\.+$/, '');

/** Shortens a body hash to that of a claim in short form. */
export const shortenBodyHash = (bodyHash: string): string => bodyHash.slice(0, BODY_CHARS);

/** Whether the claim is in short form: it ran, and its answer, its claim id and its host were dropped. */
export const isShortForm = (record: ClaimRecord): boolean => record.hostId === SHORT_FORM_MARKER;

/** Creates the short form of a finished claim. */
export const toShortForm = (bodyHash: string, wallMs: number): ClaimRecord => {
  const status = { type: 'finished' as const, outcome: { type: 'dropped' as const }, wallMs };
  return { bodyHash: shortenBodyHash(bodyHash), claimId: SHORT_FORM_MARKER, hostId: SHORT_FORM_MARKER, wallMs, status };
};

/**
 * Encodes finished claims as a sorted string of key and body hashes.
 *
 * @param entries - finished claims with their keys; at least one
 * @returns the run
 */
export function encodeRun(entries: readonly (readonly [string, ClaimRecord])[]): ClaimRun {
  const times = entries.map(([, { wallMs }]) => wallMs);
  return {
    oldestWallMs: times.reduce((oldest, wallMs) => Math.min(oldest, wallMs), Infinity),
    newestWallMs: times.reduce((newest, wallMs) => Math.max(newest, wallMs), 0),
    claims: entries
      .map(([key, { bodyHash }]) => padHash(key, KEY_CHARS) + padHash(bodyHash, BODY_CHARS))
      .sort()
      .join(''),
  };
}

const splitClaims = (text: string): readonly string[] =>
  Array.from({ length: text.length / CLAIM_CHARS }, (_, index) =>
    text.slice(index * CLAIM_CHARS, (index + 1) * CLAIM_CHARS),
  );

/**
 * Merges runs into one.
 *
 * @param runs - the runs; at least one
 * @returns the run with all their claims
 */
export function mergeRuns(runs: readonly ClaimRun[]): ClaimRun {
  return {
    oldestWallMs: Math.min(...runs.map(({ oldestWallMs }) => oldestWallMs)),
    newestWallMs: Math.max(...runs.map(({ newestWallMs }) => newestWallMs)),
    claims: runs
      .flatMap(({ claims }) => splitClaims(claims))
      .sort()
      .join(''),
  };
}

/**
 * Finds a key in a run by binary search, so that the owner of a shard keeps one string instead of an object per claim.
 *
 * @param run - the run
 * @param keyHash - hash of the key
 * @returns the short form of the claim, or undefined
 */
export function findFinished(run: ClaimRun, keyHash: string): ClaimRecord | undefined {
  const key = padHash(keyHash, KEY_CHARS);
  let low = 0;
  let high = run.claims.length / CLAIM_CHARS;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    const offset = middle * CLAIM_CHARS;
    const found = run.claims.slice(offset, offset + KEY_CHARS);
    if (found === key) {
      const body = run.claims.slice(offset + KEY_CHARS, offset + CLAIM_CHARS);
      return toShortForm(trimPadding(body), run.newestWallMs);
    }
    if (found < key) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return undefined;
}
