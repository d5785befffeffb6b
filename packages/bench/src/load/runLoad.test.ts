import assert from 'node:assert/strict';
import { test } from 'node:test';
import { findEngines } from './model/computeCapacity.js';
import { DEPLOYMENT_MODELS } from './model/deployments.js';
import findPolicy from './policies.js';
import runLoad from './runLoad.js';
import loadScenarios from './scenarios/loadScenarios.js';
import type { LoadFigures, LoadResult } from './types.js';

const SEED = 1;
const MIN_STEADY_ATTAINMENT = 0.999;
const MIN_CREST_ATTAINMENT = 0.99;
const MIN_CREST_GOODPUT = 0.95;
const MIN_OTHERS_ATTAINMENT = 0.99;
const MAX_LONG_RATIO = 1.3;
const MAX_STRAGGLER_RATIO = 1.5;
const MAX_HEDGE_WORK = 0.03;
const MAX_COST_SHARE = 0.85;
const LINK_BUDGET_BYTES = 2_000_000;

const run = (scenarioName: string, policyName = 'current', deploymentName = 'stille-vaart'): LoadResult => {
  const deployment = DEPLOYMENT_MODELS[deploymentName];
  const policy = findPolicy(policyName);
  assert.ok(deployment !== undefined && policy !== undefined);
  const scenario = loadScenarios(findEngines(deployment).servers).find(({ name }) => name === scenarioName);
  assert.ok(scenario !== undefined);
  return runLoad(scenario, { deployment, policy, seed: SEED });
};

const figures = (scenarioName: string, policyName?: string): LoadFigures => run(scenarioName, policyName).figures;

test('the same seed gives the same figures, so that runs can be compared', () => {
  assert.deepEqual(run('pool-loss'), run('pool-loss'));
});

test('steady load of 0.8 of capacity is served in time', () => {
  assert.ok(figures('steady').attainment >= MIN_STEADY_ATTAINMENT);
});

test('at a crest, admitted requests are in time, servers stay busy and refusals come early', () => {
  ['quarter-close', 'booking-run'].forEach((scenario) => {
    const { admittedAttainment, crestGoodput } = figures(scenario);
    assert.ok(admittedAttainment >= MIN_CREST_ATTAINMENT, `${scenario}: attainment ${admittedAttainment}`);
    assert.ok(crestGoodput >= MIN_CREST_GOODPUT, `${scenario}: goodput ${crestGoodput}`);
  });
});

test('long work does not block short work, also when its length is misjudged', () => {
  const alone = figures('long-short-off').shortP99Ms;
  ['long-short', 'long-short-misjudged'].forEach((scenario) => {
    assert.ok(figures(scenario).shortP99Ms <= alone * MAX_LONG_RATIO, scenario);
  });
});

test('long work does not block short work on engines with few free slots', () => {
  const alone = figures('long-short-busy-off').shortP99Ms;
  assert.ok(figures('long-short-busy').shortP99Ms <= alone * MAX_LONG_RATIO);
});

test('one organisation that sends too much does not push out the others', () => {
  assert.ok(figures('large-organisation').othersAttainment >= MIN_OTHERS_ATTAINMENT);
});

test('a straggler does not reach the tail, and hedges cost little', () => {
  const { p99Ms, hedgeWork } = figures('stragglers');
  assert.ok(p99Ms <= figures('stragglers-off').p99Ms * MAX_STRAGGLER_RATIO, `p99 ${p99Ms}`);
  assert.ok(hedgeWork < MAX_HEDGE_WORK, `hedge work ${hedgeWork}`);
});

test('repeated prefixes cost less than with least-outstanding at equal attainment', () => {
  const current = figures('cold-prefix');
  const baseline = figures('cold-prefix', 'least-outstanding');
  assert.ok(current.attainment >= baseline.attainment);
  assert.ok(current.costTotalMs <= baseline.costTotalMs * MAX_COST_SHARE);
});

test('the loss of a pool does not flood the link between the regions', () => {
  ['pool-loss', 'link-squeeze'].forEach((scenario) => {
    assert.ok(figures(scenario).maxLinkBytesPerSecond <= LINK_BUDGET_BYTES, scenario);
  });
});
