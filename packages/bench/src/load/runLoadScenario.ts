import type { BenchOptions, BenchResult } from './benchTypes.js';
import formatLoadTable from './formatLoadTable.js';
import { findEngines } from './model/computeCapacity.js';
import { DEPLOYMENT_MODELS } from './model/deployments.js';
import findPolicy, { COMPARED_POLICIES } from './policies.js';
import runLoad from './runLoad.js';
import loadScenarios from './scenarios/loadScenarios.js';
import type { DeploymentModel, LoadPolicy, LoadResult } from './types.js';
import writeLoadReport from './writeLoadReport.js';

const runDeployment = (
  name: string,
  deployment: DeploymentModel,
  options: { readonly policies: readonly LoadPolicy[]; readonly seeds: readonly number[] },
): readonly LoadResult[] => {
  const { servers } = findEngines(deployment);
  const scenario = loadScenarios(servers).find((candidate) => candidate.name === name);
  if (scenario === undefined) {
    return [];
  }
  return options.policies.flatMap((policy) =>
    options.seeds.map((seed) => runLoad(scenario, { deployment, policy, seed })),
  );
};

/**
 * Runs one load scenario for every wanted deployment, policy and seed.
 *
 * @param name - scenario
 * @param options - what to run
 * @returns table and figures
 */
export default async function runLoadScenario(name: string, options: BenchOptions): Promise<BenchResult> {
  const names = options.policies.length > 0 ? options.policies : COMPARED_POLICIES;
  const policies = names.map(findPolicy).filter((policy) => policy !== undefined);
  const results = options.deployments.flatMap((deploymentName) => {
    const deployment = DEPLOYMENT_MODELS[deploymentName];
    return deployment === undefined ? [] : runDeployment(name, deployment, { policies, seeds: options.seeds });
  });
  if (options.reportFile !== undefined) {
    await writeLoadReport(results, options.reportFile);
  }
  return { table: formatLoadTable(results), json: results };
}
