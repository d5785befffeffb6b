import { parseArgs } from 'node:util';
import runLimitModel from './limits/runLimitModel.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    hosts: { type: 'string', multiple: true, default: ['8', '100', '410'] },
    limit: { type: 'string', default: '1' },
    limited: { type: 'string' },
    length: { type: 'string', default: '60' },
  },
});

const HOSTS_PER_REGION = 82;
const REQUESTS_PER_HOST = 3;
const MS_PER_SECOND = 1_000;

const results = [];
for (const hosts of values.hosts.map(Number)) {
  const servers = hosts;
  for (const [name, restartEveryMs, ownerKillEveryMs] of [
    ['calm', Infinity, Infinity],
    ['restarts', 2_000, Infinity],
    ['owner killed', Infinity, 8_000],
  ] as const) {
    // One run after the other, because a run takes a whole core.

    const result = await runLimitModel({
      seed: Number(values.seed),
      hosts,
      regions: Math.max(2, Math.round(hosts / HOSTS_PER_REGION)),
      servers,
      limitedServers: Number(values.limited ?? Math.ceil(servers / 8)),
      requestsPerSecond: hosts * REQUESTS_PER_HOST,
      limitPerSecond: Number(values.limit),
      lengthMs: Number(values.length) * MS_PER_SECOND,
      restartEveryMs,
      ownerKillEveryMs,
    });
    results.push({ hosts, case: name, ...result });
  }
}
console.table(results);
