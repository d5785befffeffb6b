/**
 * Measures claims: `node claims.main.js [--seed N] [--seconds N] [--rate N]... [--json]`. With `--memory` it measures
 * instead the store size, heap and compaction time of a shard owner for 24 hours of claims at each rate.
 */
import { parseArgs } from 'node:util';
import measureClaimMemory from './claims/measureClaimMemory.js';
import runClaimsBench from './claims/runClaimsBench.js';

const main = async (): Promise<void> => {
  const { values } = parseArgs({
    options: {
      seed: { type: 'string', default: '1' },
      seconds: { type: 'string', default: '10' },
      rate: { type: 'string', multiple: true, default: ['10', '100', '1000'] },
      json: { type: 'boolean', default: false },
      memory: { type: 'boolean', default: false },
    },
  });
  const ratesPerSecond = values.rate.map(Number);
  if (values.memory) {
    console.table(ratesPerSecond.map(measureClaimMemory));
    return;
  }
  const rows = await runClaimsBench({ seed: Number(values.seed), seconds: Number(values.seconds), ratesPerSecond });
  if (values.json) {
    console.log(JSON.stringify({ seed: Number(values.seed), rows }));
  } else {
    console.log(`claims, seed ${values.seed}`);
    console.table(rows);
  }
};

main().catch((cause: unknown) => {
  console.error(`claims: ${String(cause)}`);
  process.exit(1);
});
