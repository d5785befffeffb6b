/** Results of one stage, and the typical size of one. */
export interface SizedResults {
  readonly results: readonly string[];
  readonly resultBytes: number;
}

/**
 * Sums the sizes of stage results by the failure domain that holds them.
 *
 * @param stages - results by stage
 * @param findDomain - returns the failure domain of a result; undefined to leave it out, for an unknown server
 * @returns bytes by failure domain
 */
export default function sumBytesByDomain(
  stages: readonly SizedResults[],
  findDomain: (result: string) => string | undefined,
): ReadonlyMap<string, number> {
  const bytes = new Map<string, number>();
  stages.forEach(({ results, resultBytes }) =>
    results.forEach((result) => {
      const domain = findDomain(result);
      if (domain !== undefined) {
        bytes.set(domain, (bytes.get(domain) ?? 0) + resultBytes);
      }
    }),
  );
  return bytes;
}
