/** What an answer says of the era of the store. */
export type EraReading =
  | { readonly type: 'era'; readonly era: number }
  /** The store tells none. */
  | { readonly type: 'none' }
  | { readonly type: 'invalid' };

/**
 * Reads the era of an answer.
 *
 * @param text - value of its header
 * @returns the era
 */
export default function parseEra(text: string | undefined): EraReading {
  if (text === undefined) {
    return { type: 'none' };
  }
  const era = Number(text);
  return /^\d+$/.test(text.trim()) && Number.isSafeInteger(era) ? { type: 'era', era } : { type: 'invalid' };
}
