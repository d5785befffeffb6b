/** `npm run faults`: runs the fault matrix. */
import { parseArgs } from 'node:util';
import { toError } from '@bergamotcove/errors';
import disableProtection from './faults/mutations/disableProtection.js';
import listCells, { listPairs } from './faults/listCells.js';
import { PROTECTIONS } from './faults/constants.js';
import runMatrix, { DEFAULT_PROCESSES } from './faults/runMatrix.js';
import type { Cell, CellResult } from './faults/types.js';

const USAGE = `usage: npm run faults -- [--list] [--only NAME] [--seed N] [--seeds N] [--pairs]
                         [--pair-count N] [--processes N] [--without PROTECTION]

  --list       print the cells and their allowed outcomes
  --only NAME  run the cells whose name contains NAME
  --seed N     first seed (1)
  --seeds N    number of seeds (1)
  --pairs      run seeded pairs of faults as well
  --pair-count N  number of pairs for each seed (as many as there are single faults)
  --processes N  worker processes, each with one cell at a time (${DEFAULT_PROCESSES})
  --without PROTECTION  turn one protection off; cells that fail as expected show that the matrix detects it
                        ${PROTECTIONS.join(', ')}`;
const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

const readOptions = () => {
  const { values } = parseArgs({
    options: {
      list: { type: 'boolean', default: false },
      only: { type: 'string' },
      seed: { type: 'string', default: '1' },
      seeds: { type: 'string', default: '1' },
      pairs: { type: 'boolean', default: false },
      'pair-count': { type: 'string' },
      processes: { type: 'string', default: String(DEFAULT_PROCESSES) },
      without: { type: 'string' },
      help: { type: 'boolean', default: false },
    },
  });
  const seed = Number(values.seed);
  const seeds = Number(values.seeds);
  const processes = Number(values.processes);
  if (!Number.isInteger(seed) || !Number.isInteger(seeds) || seeds < 1) {
    throw new Error('--seed and --seeds: expected whole numbers');
  }
  if (!Number.isInteger(processes) || processes < 1) {
    throw new Error('--processes: expected a whole number');
  }
  const without = PROTECTIONS.find((name) => name === values.without);
  if (values.without !== undefined && without === undefined) {
    throw new Error(`--without: expected one of ${PROTECTIONS.join(', ')}`);
  }
  const pairCount = values['pair-count'] === undefined ? undefined : Number(values['pair-count']);
  return { ...values, seed, seeds, processes, pairCount, without };
};

type Options = ReturnType<typeof readOptions>;

const selectCells = (options: Options, seed: number): readonly Cell[] => {
  const singles = listCells();
  const cells = options.pairs ? [...singles, ...listPairs(seed, options.pairCount ?? singles.length)] : singles;
  return cells.filter((cell) => options.only === undefined || cell.name.includes(options.only));
};

const printFailedRun = (result: CellResult): void => {
  console.log(`RED ${result.cell.name} seed ${result.seed}: ${result.outcomes.join(' > ')}`);
  result.violations.forEach((violation) => console.log(`  ${violation}`));
};

const printRepeatedRun = (result: CellResult, runDelayMs: number): void => {
  console.log(`REPEATED ${result.cell.name} seed ${result.seed}: no processor for ${Math.round(runDelayMs)} ms`);
  result.violations.forEach((violation) => console.log(`  ${violation}`));
};

const runAll = async (options: Options): Promise<void> => {
  const { without } = options;
  const seeds = Array.from({ length: options.seeds }, (_, index) => options.seed + index);
  const runs = seeds.flatMap((seed) =>
    selectCells(options, seed).map((cell) => ({
      cell,
      options: { seed, ...(without === undefined ? {} : { without }) },
    })),
  );
  console.log(`${runs.length} runs, seeds ${seeds[0]} to ${seeds.at(-1)}`);
  let repeated = 0;
  const results = await runMatrix(runs, {
    processes: options.processes,
    onVoidRun: (result, runDelayMs) => {
      repeated += 1;
      printRepeatedRun(result, runDelayMs);
    },
    onResult: (result) => {
      if (result.violations.length > 0) {
        printFailedRun(result);
      }
    },
  });
  const failed = results.filter((result) => result.violations.length > 0).length;
  const passed = results.length - failed;
  console.log(
    `run ${results.length}, passed ${passed}, red ${failed}, repeated ${repeated}, first seed ${options.seed}`,
  );
  process.exit(failed > 0 ? EXIT_FAILED : 0);
};

const main = async (): Promise<void> => {
  const options = readOptions();
  if (options.help) {
    console.log(USAGE);
  } else if (options.list) {
    selectCells(options, options.seed).forEach((cell) => console.log(`${cell.name}: ${cell.allowed.join(', ')}`));
  } else {
    disableProtection(options.without);
    await runAll(options);
  }
};

main().catch((cause: unknown) => {
  console.error(`faults: ${toError(cause).message}\n${USAGE}`);
  process.exit(EXIT_USAGE);
});
