import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { createAdmission, type Admission, type AdmissionRequest } from '@bergamotcove/decide';
import type { BenchRun } from '../load/benchTypes.js';
import { formatRows } from '../load/formatLoadTable.js';

const ORGANISATION_COUNTS = [200, 2_000, 19_000];
const BACKLOG = 19_000;
const OFFERS = 200;
const RELEASES = 2_000;
const US_PER_MS = 1_000;
const BYTES_PER_KB = 1_000;
const FAR_DEADLINE_MS = 1e9;
const NO_LIMIT = { requestsPerSecond: 1e9, tokensPerSecond: 1e9 };

const makeRequest = (index: number, organisations: number): AdmissionRequest => ({
  requestId: String(index),
  organisation: `organisation-${index % organisations}`,
  weight: 1,
  priority: index % 3 === 0 ? 'draft' : 'interactive',
  costTokens: 40 + (index % 7) * 10,
  deadlineAtMs: FAR_DEADLINE_MS,
  runMs: 1_000,
  typicalMs: 500,
});

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const measureHeapBytes = (): number => {
  collectGarbage();
  return process.memoryUsage().heapUsed;
};

const timeMs = (run: () => void): number => {
  const startedAtMs = performance.now();
  run();
  return performance.now() - startedAtMs;
};

const measureTimes = (admission: Admission<AdmissionRequest>, organisations: number) => {
  const offersMs = timeMs(() => {
    for (let index = 0; index < OFFERS; index += 1) {
      admission.offer(makeRequest(BACKLOG + index, organisations), NO_LIMIT, 0);
    }
  });
  const expireMs = timeMs(() => admission.expire(0));
  const releasesMs = timeMs(() => {
    for (let index = 0; index < RELEASES; index += 1) {
      admission.release(0);
    }
  });
  return { offerUs: (offersMs * US_PER_MS) / OFFERS, expireMs, releaseUs: (releasesMs * US_PER_MS) / RELEASES };
};

const measure = (organisations: number) => {
  const items = Array.from({ length: BACKLOG }, (_, index) => makeRequest(index, organisations));
  const admission = createAdmission();
  const before = measureHeapBytes();
  const fillMs = timeMs(() => items.forEach((item) => admission.offer(item, NO_LIMIT, 0)));
  const memoryKb = (measureHeapBytes() - before) / BYTES_PER_KB;
  return { organisations, fillMs, memoryKb, ...measureTimes(admission, organisations) };
};

/** Measures time and memory of admission with a backlog of 19,000 requests, by the number of organisations in it. */
const run: BenchRun = () => {
  const results = ORGANISATION_COUNTS.map(measure);
  const header = ['organisations', 'offer us', 'release us', 'expire ms', 'memory kB'];
  const rows = results.map((result) => [
    String(result.organisations),
    result.offerUs.toFixed(1),
    result.releaseUs.toFixed(1),
    result.expireMs.toFixed(1),
    result.memoryKb.toFixed(0),
  ]);
  return Promise.resolve({ table: formatRows([header, ...rows]), json: results });
};

export default run;
