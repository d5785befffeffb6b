/** `npm run bench -- SCENARIO --seed N`: open-loop load runs and other measurements; `--list` names them. */
import { parseArgs } from 'node:util';
import { toError } from '@bergamotcove/errors';
import type { BenchOptions, BenchScenario } from './load/benchTypes.js';
import listBenchScenarios from './load/listBenchScenarios.js';
import { DEPLOYMENT_MODELS } from './load/model/deployments.js';
import { LOAD_POLICIES } from './load/policies.js';

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;
const USAGE = [
  'usage: npm run bench -- SCENARIO [--seed N] [--seeds N] [--policy NAME] [--deployment NAME] [--json] [--report FILE]',
  '       npm run bench -- --list',
  '',
  '  --seed N           first seed; the same seed gives the same figures (default 1)',
  '  --seeds N          number of seeds from the first one on (default 1)',
  '  --policy NAME      only this policy; may be given several times',
  '  --deployment NAME  only this deployment',
  '  --json             figures as JSON',
  '  --report FILE      report as .svg or .html',
  '  --list             names of scenarios, policies and deployments',
].join('\n');

/** Thrown when the command line is invalid. */
class UsageError extends Error {}

const readArguments = () => {
  try {
    return parseArgs({
      allowPositionals: true,
      options: {
        seed: { type: 'string', default: '1' },
        seeds: { type: 'string', default: '1' },
        policy: { type: 'string', multiple: true, default: [] },
        deployment: { type: 'string', multiple: true, default: [] },
        json: { type: 'boolean', default: false },
        report: { type: 'string' },
        list: { type: 'boolean', default: false },
        help: { type: 'boolean', default: false },
      },
    });
  } catch (cause) {
    throw new UsageError(toError(cause).message, { cause });
  }
};

const readCount = (name: string, text: string): number => {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1) {
    throw new UsageError(`--${name}: expected a whole number of at least 1, got "${text}"`);
  }
  return value;
};

const checkNames = (option: string, names: readonly string[], known: readonly string[]): void => {
  const unknown = names.find((name) => !known.includes(name));
  if (unknown !== undefined) {
    throw new UsageError(`--${option}: expected one of ${known.join(', ')}, got "${unknown}"`);
  }
};

const printList = (scenarios: readonly BenchScenario[]): void => {
  const section = (title: string, items: readonly { readonly name: string; readonly text: string }[]): void => {
    console.log(`${title}:`);
    items.forEach((item) => console.log(`  ${item.name.padEnd(22)} ${item.text}`));
  };
  section('scenarios', scenarios);
  section('policies', LOAD_POLICIES);
  console.log(`deployments: ${Object.keys(DEPLOYMENT_MODELS).join(', ')}`);
};

const findScenario = (scenarios: readonly BenchScenario[], name: string | undefined): BenchScenario => {
  const scenario = scenarios.find((candidate) => candidate.name === name);
  if (scenario === undefined) {
    throw new UsageError(name === undefined ? 'SCENARIO is missing' : `no scenario "${name}"; see --list`);
  }
  return scenario;
};

const main = async (): Promise<void> => {
  const { values, positionals } = readArguments();
  const scenarios = listBenchScenarios();
  if (values.help || values.list) {
    if (values.help) {
      console.log(USAGE);
    }
    printList(scenarios);
    return;
  }
  const scenario = findScenario(scenarios, positionals[0]);
  const first = readCount('seed', values.seed);
  const seeds = Array.from({ length: readCount('seeds', values.seeds) }, (_, index) => first + index);
  checkNames('policy', values.policy, scenario.policies);
  checkNames('deployment', values.deployment, Object.keys(DEPLOYMENT_MODELS));
  const options: BenchOptions = {
    seeds,
    policies: values.policy,
    deployments: values.deployment.length > 0 ? values.deployment : Object.keys(DEPLOYMENT_MODELS),
    ...(values.report === undefined ? {} : { reportFile: values.report }),
  };
  const result = await scenario.run(options);
  if (values.json) {
    console.log(JSON.stringify({ scenario: scenario.name, seeds, result: result.json }, null, 2));
  } else {
    console.log(`scenario ${scenario.name}, seeds ${seeds.join(', ')}`);
    console.log(result.table);
  }
};

main().catch((cause: unknown) => {
  const error = toError(cause);
  console.error(`bench: ${error.message}`);
  if (cause instanceof UsageError) {
    console.error(USAGE);
  }
  process.exitCode = cause instanceof UsageError ? EXIT_USAGE : EXIT_FAILED;
});
