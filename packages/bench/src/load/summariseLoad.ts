import { build, type Histogram } from 'hdr-histogram-js';
import computeCapacity, { meanEngineTokens, serverTokensPerMs } from './model/computeCapacity.js';
import type { Link } from './model/createLink.js';
import type { ServerModel } from './model/createServerModel.js';
import type {
  Arrival,
  DeploymentModel,
  LoadFigures,
  LoadScenario,
  LoadStage,
  RequestRecord,
  TimelinePoint,
} from './types.js';

/** Raw material of one run. */
export interface LoadRun {
  readonly scenario: LoadScenario;
  readonly deployment: DeploymentModel;
  readonly arrivals: readonly Arrival[];
  readonly records: readonly RequestRecord[];
  readonly servers: ReadonlyMap<LoadStage, readonly ServerModel[]>;
  readonly link: Link;
  readonly extraEngineTokens: number;
}

const MS_PER_SECOND = 1_000;
const MAX_VALUE_MS = 600_000;
const QUANTILES = [0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 1];
const PERCENT = 100;
const STAGES: readonly LoadStage[] = ['encode', 'retrieve', 'rerank', 'generate', 'call'];

const latencyOf = (record: RequestRecord): number => record.finishedAtMs - record.arrival.atMs;

const isAttained = (record: RequestRecord): boolean =>
  record.result === 'answered' && latencyOf(record) <= record.arrival.operation.deadlineMs;

const share = (part: number, whole: number): number => (whole === 0 ? 1 : part / whole);

const toHistogram = (records: readonly RequestRecord[]): Histogram => {
  const histogram = build({ highestTrackableValue: MAX_VALUE_MS, numberOfSignificantValueDigits: 3 });
  records.forEach((record) =>
    histogram.recordValue(Math.min(MAX_VALUE_MS, Math.max(1, Math.round(latencyOf(record))))),
  );
  return histogram;
};

const quantile = (records: readonly RequestRecord[], value: number): number =>
  records.length === 0 ? 0 : toHistogram(records).getValueAtPercentile(value * PERCENT);

const answered = (records: readonly RequestRecord[]): readonly RequestRecord[] =>
  records.filter((record) => record.result === 'answered');

const measured = (run: LoadRun): readonly RequestRecord[] =>
  run.records.filter((record) => record.arrival.atMs >= run.scenario.warmUpMs);

/** Server time of each stage for each request answered in time, over the whole run. */
const computeCost = (run: LoadRun): Record<LoadStage, number> => {
  const attained = run.records.filter(isAttained).length;
  const costs = STAGES.map((stage) => {
    const servers = run.servers.get(stage) ?? [];
    const usedMs = servers.reduce((sum, server) => sum + server.usedTokens() / serverTokensPerMs(server.pool), 0);
    return [stage, attained === 0 ? 0 : usedMs / attained] as const;
  });
  return Object.fromEntries(costs) as Record<LoadStage, number>;
};

/** Work of the requests answered in time within the crest, as a share of what the engines can do in it. */
const computeCrestGoodput = (run: LoadRun): number => {
  const { crestMs } = run.scenario;
  if (crestMs === undefined) {
    return 0;
  }
  const tokens = run.records
    .filter((record) => record.finishedAtMs >= crestMs.fromMs && record.finishedAtMs < crestMs.toMs)
    .filter(isAttained)
    .reduce((sum, { arrival }) => {
      const prefill = meanEngineTokens(arrival.operation) - arrival.operation.meanOutputTokens;
      return sum + arrival.outputTokens + prefill;
    }, 0);
  const perMs = (run.servers.get('generate') ?? []).reduce((sum, server) => sum + serverTokensPerMs(server.pool), 0);
  return tokens / (perMs * (crestMs.toMs - crestMs.fromMs));
};

/** Times of a whole number of milliseconds lose too much for token times; they are kept in tenths. */
const TENTHS = 10;

const quantileOf = (values: readonly number[], value: number): number => {
  const histogram = build({ highestTrackableValue: MAX_VALUE_MS * TENTHS, numberOfSignificantValueDigits: 3 });
  values.forEach((ms) => histogram.recordValue(Math.max(1, Math.min(MAX_VALUE_MS, ms) * TENTHS)));
  return values.length === 0 ? 0 : histogram.getValueAtPercentile(value * PERCENT) / TENTHS;
};

const computeTokenTimes = (records: readonly RequestRecord[]) => {
  const first: number[] = [];
  const between: number[] = [];
  records.forEach(({ arrival, firstTokenAtMs, lastTokenAtMs }) => {
    if (firstTokenAtMs !== undefined && lastTokenAtMs !== undefined) {
      first.push(firstTokenAtMs - arrival.atMs);
      between.push((lastTokenAtMs - firstTokenAtMs) / Math.max(1, arrival.outputTokens - 1));
    }
  });
  return { firstTokenP95Ms: quantileOf(first, 0.95), betweenTokensP95Ms: quantileOf(between, 0.95) };
};

const computeLatency = (records: readonly RequestRecord[]) => {
  const done = answered(records);
  const short = done.filter((record) => !record.arrival.operation.long);
  const long = done.filter((record) => record.arrival.operation.long);
  return {
    p50Ms: quantile(done, 0.5),
    p95Ms: quantile(done, 0.95),
    p99Ms: quantile(done, 0.99),
    shortP50Ms: quantile(short, 0.5),
    shortP99Ms: quantile(short, 0.99),
    longP99Ms: quantile(long, 0.99),
    ...computeTokenTimes(done),
  };
};

const computeTimeline = (run: LoadRun): readonly TimelinePoint[] =>
  Array.from({ length: Math.ceil(run.scenario.durationMs / MS_PER_SECOND) }, (_, index) => {
    const fromMs = index * MS_PER_SECOND;
    const records = run.records.filter(
      ({ arrival }) => arrival.atMs >= fromMs && arrival.atMs < fromMs + MS_PER_SECOND,
    );
    return {
      atMs: fromMs,
      arrivals: records.length,
      attained: records.filter(isAttained).length,
      refused: records.filter((record) => record.result === 'refused').length,
    };
  });

/** Latency of the answered requests by quantile. */
export const latencyQuantiles = (run: LoadRun): readonly { readonly quantile: number; readonly valueMs: number }[] => {
  const histogram = toHistogram(answered(measured(run)));
  return QUANTILES.map((value) => ({ quantile: value, valueMs: histogram.getValueAtPercentile(value * PERCENT) }));
};

/** Requests per second at which the engines of the deployment are full. */
export const capacityPerSecond = (scenario: LoadScenario, deployment: DeploymentModel): number =>
  deployment.failureDomains.reduce((sum, _, index) => sum + computeCapacity(scenario, deployment, index), 0) *
  MS_PER_SECOND;

/**
 * Computes the figures of a run. Latencies count from the intended arrival. Requests that arrived in the warm-up are
 * left out, except from costs.
 *
 * @param run - records and servers
 * @returns figures and timeline
 */
export default function summariseLoad(run: LoadRun): {
  readonly figures: LoadFigures;
  readonly timeline: readonly TimelinePoint[];
} {
  const records = measured(run);
  const offered = run.arrivals.filter((arrival) => arrival.atMs >= run.scenario.warmUpMs);
  const attained = records.filter(isAttained).length;
  const admitted = records.filter((record) => record.admitted);
  const refused = records.filter((record) => record.result === 'refused' && !record.admitted);
  const others = offered.filter((arrival) => arrival.organisation !== run.scenario.noisyOrganisation).length;
  const othersAttained = records
    .filter((record) => record.arrival.organisation !== run.scenario.noisyOrganisation)
    .filter(isAttained).length;
  const costMs = computeCost(run);
  const engineTokens = (run.servers.get('generate') ?? []).reduce((sum, server) => sum + server.usedTokens(), 0);
  return {
    figures: {
      requests: offered.length,
      attainment: share(attained, offered.length),
      // A request without a record never finished, so it counts as admitted and missed.
      admittedAttainment: share(admitted.filter(isAttained).length, admitted.length + offered.length - records.length),
      refused: refused.length,
      refusalP99Ms: quantile(refused, 0.99),
      ...computeLatency(records),
      crestGoodput: computeCrestGoodput(run),
      othersAttainment: share(othersAttained, others),
      costMs,
      costTotalMs: Object.values(costMs).reduce((sum, value) => sum + value, 0),
      hedgeWork: share(run.extraEngineTokens, engineTokens - run.extraEngineTokens),
      maxLinkBytesPerSecond: run.link.maxBytesPerSecond(),
      linkBytes: run.link.totalBytes(),
    },
    timeline: computeTimeline(run),
  };
}
