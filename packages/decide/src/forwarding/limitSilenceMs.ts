/** Shortest time after which an engine that sends nothing is given up. */
const LEAST_MS = 1_500;
/** Times its expected time that an engine is waited for: most are slow rather than dead. */
const PATIENCE = 4;

/**
 * Limits the time for which an engine may send nothing before a stream that may be resumed goes to another one. An
 * engine that lost its power or its path keeps a connection open for minutes.
 *
 * @param expectedMs - time to the first token that was expected
 * @returns time in milliseconds
 */
export default function limitSilenceMs(expectedMs: number): number {
  return Math.max(LEAST_MS, expectedMs * PATIENCE);
}
