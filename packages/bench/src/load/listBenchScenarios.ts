import { existsSync, readdirSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';
import type { BenchRun, BenchScenario } from './benchTypes.js';
import { LOAD_POLICIES } from './policies.js';
import runLoadScenario from './runLoadScenario.js';
import loadScenarios from './scenarios/loadScenarios.js';

const MODULES_DIR = path.join(path.dirname(fileURLToPath(import.meta.url)), '..', 'scenarios');
const MODULE_SUFFIX = '.scenario.js';
/** The texts of the scenarios do not depend on the number of engines. */
const ANY_ENGINES = 5;

const toLoadEntry = (name: string, text: string): BenchScenario => ({
  name,
  text,
  policies: LOAD_POLICIES.map((policy) => policy.name),
  run: (options) => runLoadScenario(name, options),
});

const toModuleEntry = (file: string): BenchScenario => {
  const name = file.slice(0, -MODULE_SUFFIX.length);
  return {
    name,
    text: `module src/scenarios/${name}.scenario.ts`,
    policies: [],
    run: async (options) => {
      const module = (await import(pathToFileURL(path.join(MODULES_DIR, file)).href)) as { readonly default: BenchRun };
      return module.default(options);
    },
  };
};

/**
 * Lists the scenarios of `npm run bench`: the load scenarios, and every module `src/scenarios/NAME.scenario.ts`, whose
 * default export is a {@link BenchRun}.
 *
 * @returns the registry
 * @example
 * const scenario = listBenchScenarios().find((candidate) => candidate.name === 'steady');
 */
export default function listBenchScenarios(): readonly BenchScenario[] {
  const modules = existsSync(MODULES_DIR)
    ? readdirSync(MODULES_DIR).filter((file) => file.endsWith(MODULE_SUFFIX))
    : [];
  return [
    ...loadScenarios(ANY_ENGINES).map(({ name, text }) => toLoadEntry(name, text)),
    ...modules.sort().map(toModuleEntry),
  ];
}
