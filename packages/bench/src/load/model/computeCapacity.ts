import { PREFILL_TOKENS_PER_TOKEN } from '../constants.js';
import type { DeploymentModel, LoadScenario, OperationLoad, PoolModel } from '../types.js';

/** Mean engine work of one request of the operation without any prefix hit, in tokens. */
export const meanEngineTokens = (operation: OperationLoad): number =>
  operation.stages.includes('generate')
    ? operation.meanOutputTokens + operation.inputTokens / PREFILL_TOKENS_PER_TOKEN
    : 0;

/** Work that one server of the pool does per millisecond with all slots busy. */
export const serverTokensPerMs = (pool: PoolModel): number => pool.slots / (pool.msPerToken * (1 + pool.batchSlope));

export const findEngines = (deployment: DeploymentModel): PoolModel =>
  deployment.pools.find((pool) => pool.stage === 'generate') as PoolModel;

/** Number of engines in each failure domain; servers are dealt out in turn. */
export const enginesByDomain = (deployment: DeploymentModel): readonly number[] => {
  const count = deployment.failureDomains.length;
  const { servers } = findEngines(deployment);
  return deployment.failureDomains.map((_, index) => Math.floor((servers + count - 1 - index) / count));
};

/** Requests per millisecond at which the engines of a failure domain are full. */
export default function computeCapacity(
  scenario: LoadScenario,
  deployment: DeploymentModel,
  domainIndex: number,
): number {
  const share = scenario.operations.reduce((sum, operation) => sum + operation.share, 0);
  const tokens = scenario.operations.reduce(
    (sum, operation) => sum + (operation.share / share) * meanEngineTokens(operation),
    0,
  );
  const servers = enginesByDomain(deployment)[domainIndex] ?? 0;
  return (servers * serverTokensPerMs(findEngines(deployment))) / tokens;
}
