/** Era of the store as given in the header of an answer. */
export type EraReading =
  | { readonly type: 'era'; readonly era: number }
  /** The header is absent. */
  | { readonly type: 'none' }
  | { readonly type: 'invalid' };

/**
 * Parses the era of an answer.
 *
 * @param text - value of the era header
 * @returns the era, or why there is none
 */
export default function parseEra(text: string | undefined): EraReading {
  if (text === undefined) {
    return { type: 'none' };
  }
  const era = Number(text);
  return /^\d+$/.test(text.trim()) && Number.isSafeInteger(era) ? { type: 'era', era } : { type: 'invalid' };
}
