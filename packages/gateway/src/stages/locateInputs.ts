import type { BatchJob } from '@bergamotcove/decide';
import type { StageJob } from './messages.js';
import sumBytesByDomain from './sumBytesByDomain.js';

/**
 * Finds the failure domain that holds most of the inputs of a job; without inputs it is the one that the job prefers.
 *
 * @param job - the job
 * @param findDomain - failure domain of a result, if its server is known
 * @returns the domain and the bytes that lie there
 */
export default function locateInputs(
  { inputs, failureDomain }: Pick<StageJob, 'inputs' | 'failureDomain'>,
  findDomain: (result: string) => string | undefined,
): Pick<BatchJob, 'failureDomain' | 'inputBytes'> {
  const byDomain = sumBytesByDomain(inputs, (result) => findDomain(result) ?? failureDomain);
  const [nearest] = [...byDomain].sort(([, a], [, b]) => b - a);
  return { failureDomain: nearest?.[0] ?? failureDomain, inputBytes: nearest?.[1] ?? 0 };
}
