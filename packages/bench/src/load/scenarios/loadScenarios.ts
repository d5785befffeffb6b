import type { LoadFault, LoadScenario, OperationLoad } from '../types.js';

const SECOND_MS = 1_000;
const WARM_UP_MS = 6 * SECOND_MS;
const STEADY_LOAD = 0.8;
const CREST_FACTOR = 3;
const CREST_MS = 10 * SECOND_MS;

const explain: OperationLoad = {
  name: 'explain',
  priority: 'interactive',
  share: 0.6,
  meanOutputTokens: 64,
  inputTokens: 300,
  prefixTokens: 0,
  deadlineMs: 3_000,
  stages: ['encode', 'retrieve', 'rerank', 'generate'],
  long: false,
  inputBytes: 8_000,
};

const draft: OperationLoad = { ...explain, name: 'draft', priority: 'draft', share: 0.25, meanOutputTokens: 80 };

const post: OperationLoad = {
  ...explain,
  name: 'post',
  priority: 'money',
  share: 0.1,
  meanOutputTokens: 32,
  stages: ['encode', 'retrieve', 'rerank', 'generate', 'call'],
};

const book: OperationLoad = { ...post, name: 'book', priority: 'booking', share: 0.05 };

const ORGANISATIONS = [
  { name: 'org-a', share: 0.35, weight: 1 },
  { name: 'org-b', share: 0.25, weight: 1 },
  { name: 'org-c', share: 0.2, weight: 1 },
  { name: 'org-d', share: 0.15, weight: 1 },
  { name: 'org-e', share: 0.05, weight: 1 },
];

const BASE: LoadScenario = {
  name: 'steady',
  text: 'constant load of 0.8 of capacity',
  durationMs: 60 * SECOND_MS,
  warmUpMs: WARM_UP_MS,
  operations: [explain, draft, post, book],
  organisations: ORGANISATIONS,
  loadAt: () => STEADY_LOAD,
  faults: [],
  estimateErrorFactor: 1,
  cachedPrefixes: 1,
};

const crest = (base: number, fromMs: number): Pick<LoadScenario, 'loadAt' | 'crestMs'> => ({
  loadAt: (atMs) => (atMs >= fromMs && atMs < fromMs + CREST_MS ? base * CREST_FACTOR : base),
  crestMs: { fromMs: fromMs + SECOND_MS, toMs: fromMs + CREST_MS },
});

const quarterClose: LoadScenario = {
  ...BASE,
  name: 'quarter-close',
  text: 'load of 0.8 of capacity with a crest of 3 times for 10 s, mostly drafts',
  durationMs: 40 * SECOND_MS,
  operations: [
    { ...draft, share: 0.6 },
    { ...explain, share: 0.25 },
    { ...post, share: 0.15 },
  ],
  ...crest(STEADY_LOAD, 15 * SECOND_MS),
};

const bookingRun: LoadScenario = {
  ...BASE,
  name: 'booking-run',
  text: 'load of 0.8 of capacity with a crest of 3 times for 10 s, mostly bookings',
  durationMs: 40 * SECOND_MS,
  operations: [
    { ...book, share: 0.6 },
    { ...explain, share: 0.3 },
    { ...post, share: 0.1 },
  ],
  ...crest(STEADY_LOAD, 15 * SECOND_MS),
};

const STRAGGLER_FACTOR = 5;
const STRAGGLER_SPAN_MS = 8 * SECOND_MS;
const STRAGGLER_LOAD = 0.6;
const STRAGGLER_SHARE = 5;

/** One engine in five is slow at any time; every 8 s it is the next one. */
const straggle = (engines: number, durationMs: number): readonly LoadFault[] => {
  const count = Math.max(1, Math.floor(engines / STRAGGLER_SHARE));
  const spans = Math.floor((durationMs - WARM_UP_MS) / STRAGGLER_SPAN_MS);
  return Array.from({ length: spans }, (_, span) => span).flatMap((span) =>
    Array.from({ length: count }, (_, offset) => (span * count + offset) % engines).flatMap((index): LoadFault[] => {
      const atMs = WARM_UP_MS + span * STRAGGLER_SPAN_MS;
      const slow = { type: 'slow', stage: 'generate', index } as const;
      return [
        { ...slow, factor: STRAGGLER_FACTOR, atMs },
        { ...slow, factor: 1, atMs: atMs + STRAGGLER_SPAN_MS },
      ];
    }),
  );
};

const withoutStragglers: LoadScenario = {
  ...BASE,
  name: 'stragglers-off',
  text: 'the load of `stragglers` with all engines at full speed',
  loadAt: () => STRAGGLER_LOAD,
};

const LONG_FACTOR = 30;
const LONG_SHARE = 0.05;
const LONG_DEADLINE_MS = 90 * SECOND_MS;
const LONG_RUN_LOAD = 0.7;
const shortWork: OperationLoad = { ...explain, name: 'short', share: 1 - LONG_SHARE };
const longWork: OperationLoad = {
  ...draft,
  name: 'long',
  share: LONG_SHARE,
  meanOutputTokens: shortWork.meanOutputTokens * LONG_FACTOR,
  deadlineMs: LONG_DEADLINE_MS,
  long: true,
};

const longShort: LoadScenario = {
  ...BASE,
  name: 'long-short',
  text: '5% of the requests need 30 times the output',
  durationMs: 90 * SECOND_MS,
  warmUpMs: 20 * SECOND_MS,
  operations: [shortWork, longWork],
  loadAt: () => LONG_RUN_LOAD,
};

const shortTokens = shortWork.meanOutputTokens + shortWork.inputTokens / 10;
const longTokens = longWork.meanOutputTokens + longWork.inputTokens / 10;
const SHORT_WORK_SHARE =
  (shortWork.share * shortTokens) / (shortWork.share * shortTokens + longWork.share * longTokens);

const BUSY_LOAD = 0.85;

const longShortBusy: LoadScenario = {
  ...longShort,
  name: 'long-short-busy',
  text: '`long-short` at a load of 0.85, where engines often have all slots busy',
  loadAt: () => BUSY_LOAD,
};

const NOISY_FACTOR = 5;
const NOISY_FROM_MS = 15 * SECOND_MS;
const NOISY_LOAD = 0.6;

/** The largest organisation sends five times its load from a point in time on. */
const largeOrganisation: LoadScenario = {
  ...BASE,
  name: 'large-organisation',
  text: 'one organisation sends five times what the others send together',
  durationMs: 40 * SECOND_MS,
  warmUpMs: NOISY_FROM_MS,
  organisations: [
    { name: 'org-large', share: NOISY_FACTOR, weight: 1 },
    ...ORGANISATIONS.map((organisation) => ({ ...organisation })),
  ],
  loadAt: () => NOISY_LOAD * (NOISY_FACTOR / 2),
  noisyOrganisation: 'org-large',
};

const LARGE_INPUT_BYTES = 60_000;
const SQUEEZED_LOAD = 1.5;
const NEAR_LOAD = 0.5;
const heavy = (operation: OperationLoad): OperationLoad => ({ ...operation, inputBytes: LARGE_INPUT_BYTES });

const linkSqueeze: LoadScenario = {
  ...BASE,
  name: 'link-squeeze',
  text: 'the smaller region gets 1.5 times its capacity, the larger one half; inputs of 60 kB',
  durationMs: 40 * SECOND_MS,
  operations: BASE.operations.map(heavy),
  loadAt: (_atMs, regionIndex) => (regionIndex === 0 ? NEAR_LOAD : SQUEEZED_LOAD),
};

const POOL_LOSS_LOAD = 0.55;
const POOL_LOSS_AT_MS = 15 * SECOND_MS;
const POOL_BACK_AT_MS = 35 * SECOND_MS;

const poolLoss: LoadScenario = {
  ...BASE,
  name: 'pool-loss',
  text: 'the engines of the smaller region are lost for 20 s; inputs of 100 kB',
  durationMs: 45 * SECOND_MS,
  operations: BASE.operations.map((operation) => ({ ...operation, inputBytes: 100_000 })),
  loadAt: () => POOL_LOSS_LOAD,
  faults: [
    { type: 'crash-region', stage: 'generate', region: 1, atMs: POOL_LOSS_AT_MS },
    { type: 'restore-region', stage: 'generate', region: 1, atMs: POOL_BACK_AT_MS },
  ],
};

const PREFIX_ORGANISATIONS = 40;
const CACHED_PREFIXES = 12;
const COLD_PREFIX_LOAD = 0.6;

const coldPrefix: LoadScenario = {
  ...BASE,
  name: 'cold-prefix',
  text: '40 organisations with their own prompt prefix of 1,200 tokens; an engine caches 12, all cold at the start',
  operations: [{ ...explain, share: 1, inputTokens: 1_500, prefixTokens: 1_200 }],
  organisations: Array.from({ length: PREFIX_ORGANISATIONS }, (_, index) => ({
    name: `org-${index}`,
    share: 1 / (1 + index / 10),
    weight: 1,
  })),
  loadAt: () => COLD_PREFIX_LOAD,
  cachedPrefixes: CACHED_PREFIXES,
};

const listScenarios = (engines: number): readonly LoadScenario[] => [
  BASE,
  quarterClose,
  bookingRun,
  {
    ...withoutStragglers,
    name: 'stragglers',
    text: 'one engine in five is slowed 5 times; it changes every 8 s',
    faults: straggle(engines, withoutStragglers.durationMs),
  },
  withoutStragglers,
  longShort,
  {
    ...longShort,
    name: 'long-short-off',
    text: 'the short work of `long-short` alone',
    operations: [shortWork],
    loadAt: () => LONG_RUN_LOAD * SHORT_WORK_SHARE,
  },
  {
    ...longShort,
    name: 'long-short-misjudged',
    text: '`long-short` with estimates that are 4 times too high or too low',
    estimateErrorFactor: 4,
  },
  longShortBusy,
  {
    ...longShortBusy,
    name: 'long-short-busy-off',
    text: 'the short work of `long-short-busy` alone',
    operations: [shortWork],
    loadAt: () => BUSY_LOAD * SHORT_WORK_SHARE,
  },
  largeOrganisation,
  linkSqueeze,
  poolLoss,
  coldPrefix,
];

/**
 * Lists the load scenarios; those with the suffix `-off` are the reference runs of the scenario of that name.
 *
 * @param engines - number of engines of the deployment, for the faults
 * @returns the scenarios
 */
export default function loadScenarios(engines: number): readonly LoadScenario[] {
  return listScenarios(engines);
}
