import type { BatchJob } from '@bergamotcove/decide';
import type { StageJob } from './messages.js';
import sumBytesByDomain from './sumBytesByDomain.js';

/**
 * Finds the failure domain that holds most of the input bytes of a job; without inputs, the preferred one of the job.
 *
 * @param job - inputs and preferred failure domain
 * @param findDomain - returns the failure domain of a result; undefined when its server is not known
 * @returns the failure domain and the input bytes in it
 */
export default function locateInputs(
  { inputs, failureDomain }: Pick<StageJob, 'inputs' | 'failureDomain'>,
  findDomain: (result: string) => string | undefined,
): Pick<BatchJob, 'failureDomain' | 'inputBytes'> {
  const byDomain = sumBytesByDomain(inputs, (result) => findDomain(result) ?? failureDomain);
  const [nearest] = [...byDomain].sort(([, a], [, b]) => b - a);
  return { failureDomain: nearest?.[0] ?? failureDomain, inputBytes: nearest?.[1] ?? 0 };
}
