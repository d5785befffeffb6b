import type { ClaimRecord } from '@bergamotcove/protocol';
import type { ClaimRun } from '../types.js';

/**
 * 16 characters of base64url are 96 bits: among the 620,000 claims that one shard holds at the target rate, a foreign
 * key matches with a probability below 1e-22.
 */
const KEY_CHARS = 16;

/** 36 bits; a wrong match only turns the refusal for another body into the refusal for a resend. */
const BODY_CHARS = 6;

const PADDING = '.';
const SHORT_FORM = '-';
const SEALED_CHARS = KEY_CHARS + BODY_CHARS;

const fit = (hash: string, chars: number): string => hash.slice(0, chars).padEnd(chars, PADDING);

const readHash = (text: string): string => text.replace(/\.+$/, '');

/** Body hash of a claim in short form. */
export const shortBody = (bodyHash: string): string => bodyHash.slice(0, BODY_CHARS);

/** Whether the claim is kept in short form: it ran, and its answer, its claim id and its host are dropped. */
export const isShortForm = (record: ClaimRecord): boolean => record.hostId === SHORT_FORM;

/** Short form of a finished claim. */
export const toShortForm = (bodyHash: string, wallMs: number): ClaimRecord => {
  const status = { type: 'finished' as const, outcome: { type: 'dropped' as const }, wallMs };
  return { bodyHash: shortBody(bodyHash), claimId: SHORT_FORM, hostId: SHORT_FORM, wallMs, status };
};

/**
 * Encodes finished claims as sorted text of key and body hashes.
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
      .map(([key, { bodyHash }]) => fit(key, KEY_CHARS) + fit(bodyHash, BODY_CHARS))
      .sort()
      .join(''),
  };
}

const cut = (text: string): readonly string[] =>
  Array.from({ length: text.length / SEALED_CHARS }, (_, index) =>
    text.slice(index * SEALED_CHARS, (index + 1) * SEALED_CHARS),
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
      .flatMap(({ claims }) => cut(claims))
      .sort()
      .join(''),
  };
}

/**
 * Finds a key in a run by binary search, so that an owner keeps the text and no object per claim.
 *
 * @param run - the run
 * @param keyHash - hash of the key
 * @returns the short form of the claim, or undefined
 */
export function findFinished(run: ClaimRun, keyHash: string): ClaimRecord | undefined {
  const key = fit(keyHash, KEY_CHARS);
  let low = 0;
  let high = run.claims.length / SEALED_CHARS;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    const at = middle * SEALED_CHARS;
    const found = run.claims.slice(at, at + KEY_CHARS);
    if (found === key) {
      const body = run.claims.slice(at + KEY_CHARS, at + SEALED_CHARS);
      return toShortForm(readHash(body), run.newestWallMs);
    }
    if (found < key) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return undefined;
}
