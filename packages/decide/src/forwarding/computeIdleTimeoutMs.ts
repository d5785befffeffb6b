/** Minimum time before an engine that sends nothing is abandoned. */
const MIN_TIMEOUT_MS = 1_500;
/** Multiple of the expected time before an engine is abandoned: most engines without tokens are slow, not dead. */
const EXPECTED_TIME_FACTOR = 4;

/**
 * Computes how long an engine may send nothing before a resumable stream moves to another engine. When an engine loses
 * power or its network path, the connection stays open for minutes.
 *
 * @param expectedMs - expected time to the first token
 * @returns the timeout in milliseconds
 */
export default function computeIdleTimeoutMs(expectedMs: number): number {
  return Math.max(MIN_TIMEOUT_MS, expectedMs * EXPECTED_TIME_FACTOR);
}
