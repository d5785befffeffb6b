import type { AttemptFacts, RequestFormat } from '../ports.js';

/**
 * Formats the headers of an attempt: those of the caller, then those of the system, which replace the caller's headers
 * of the same name.
 *
 * @param callerHeaders - alternating names and values
 * @param facts - what the system tells the server
 * @param format - header names and their formats
 * @returns alternating names and values
 */
export default function formatAttemptHeaders(
  callerHeaders: readonly string[],
  facts: AttemptFacts,
  format: RequestFormat,
): readonly string[] {
  const systemHeaders = format.formatAttempt(facts);
  const names = new Set(systemHeaders.filter((_, index) => index % 2 === 0).map((name) => name.toLowerCase()));
  const kept: string[] = [];
  for (let index = 0; index + 1 < callerHeaders.length; index += 2) {
    const name = callerHeaders[index] as string;
    if (!names.has(name.toLowerCase())) {
      kept.push(name, callerHeaders[index + 1] as string);
    }
  }
  return [...kept, ...systemHeaders];
}
