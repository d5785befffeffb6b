import { parseArgs } from 'node:util';
import runPartExperiment from './crashes/runPartExperiment.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    runs: { type: 'string', default: '200' },
    servers: { type: 'string', default: '100' },
  },
});
console.table(
  runPartExperiment({ seed: Number(values.seed), runs: Number(values.runs), servers: Number(values.servers) }).map(
    ({ crashes, maxRefusedShare, ...result }) => ({
      ...result,
      maxRefusedShare: maxRefusedShare.toFixed(4),
      crashes: crashes?.join(' / ') ?? '',
    }),
  ),
);
