/** Measures the control plane: `node control.main.js [NAME …] [--seed N] [--quick] [--json] [--list]`. */
import { parseArgs } from 'node:util';
import { toError } from '@bergamotcove/errors';
import runControlBench, { CONTROL_MEASUREMENTS } from './control/runControlBench.js';

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

const main = async (): Promise<void> => {
  const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: {
      seed: { type: 'string', default: '1' },
      quick: { type: 'boolean', default: false },
      json: { type: 'boolean', default: false },
      list: { type: 'boolean', default: false },
    },
  });
  if (values.list) {
    console.log(Object.keys(CONTROL_MEASUREMENTS).join('\n'));
    return;
  }
  const reports = await runControlBench(positionals, { seed: Number(values.seed), quick: values.quick });
  if (values.json) {
    console.log(JSON.stringify(reports));
    return;
  }
  reports.forEach(({ measurement, seed, figures }) => {
    console.log(`${measurement} (seed ${seed})`);
    figures.forEach(({ name, value, unit }) => console.log(`  ${name}: ${Number(value.toPrecision(4))} ${unit}`));
  });
};

main().then(
  () => process.exit(0),
  (cause: unknown) => {
    console.error(`control: ${toError(cause).message}`);
    process.exit(cause instanceof RangeError ? EXIT_USAGE : EXIT_FAILED);
  },
);
