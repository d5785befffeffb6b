/** Measures the overhead of an entry host: `node packages/bench/dist/overhead.main.js [--seed N] [--seconds N] [--json]`. */
import { parseArgs } from 'node:util';
import { toError } from '@bergamotcove/errors';
import formatOverhead from './overhead/formatOverhead.js';
import runOverheadBench from './overhead/runOverheadBench.js';

const MS_PER_SECOND = 1_000;
const EXIT_FAILED = 1;

const main = async (): Promise<void> => {
  const { values } = parseArgs({
    options: {
      seed: { type: 'string', default: '1' },
      seconds: { type: 'string', default: '5' },
      profile: { type: 'string' },
      json: { type: 'boolean', default: false },
    },
  });
  const result = await runOverheadBench({
    seed: Number(values.seed),
    measureMs: Number(values.seconds) * MS_PER_SECOND,
    entryArgs: values.profile === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${values.profile}`],
    print: (line) => console.error(line),
  });
  console.log(values.json ? JSON.stringify(result) : formatOverhead(result));
};

main().catch((cause: unknown) => {
  console.error(`overhead: ${toError(cause).message}`);
  process.exitCode = EXIT_FAILED;
});
