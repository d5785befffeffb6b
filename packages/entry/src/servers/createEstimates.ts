import type { Clock } from '@bergamotcove/clock';
import {
  createLengthEstimator,
  createLatencyQuantiles,
  type PlannedStage,
  type RequestPlan,
} from '@bergamotcove/decide';

/** Estimates of the work and time of requests, from the service documents and from the requests of this host. */
export interface Estimates {
  /** Output tokens of a generation. */
  outputTokens(plan: RequestPlan): number;
  /** Work of an attempt at a stage in tokens; 1 for a stage that does not generate. */
  stageTokens(plan: RequestPlan, stage: PlannedStage, resumeTokenIndex: number): number;
  /** Time of a stage at a learnt quantile; a short default while unknown. */
  stageMs(plan: RequestPlan, stage: PlannedStage, quantile: number): number;
  /** Times of the remaining stages, from the given index on, at a learnt quantile. */
  stagesLeftMs(plan: RequestPlan, fromIndex: number, quantile: number): readonly number[];
  /** Time from admission to the answer at a learnt quantile. */
  runMs(plan: RequestPlan, quantile: number): number;
  /** Time to the first token at a learnt quantile; undefined while unknown. */
  firstTokenMs(plan: RequestPlan, stage: PlannedStage, quantile: number): number | undefined;
  /** Time per token relative to the pool at a learnt quantile; undefined while unknown. */
  paceRatio(pool: string, quantile: number): number | undefined;
  learnStage(plan: RequestPlan, stage: PlannedStage, elapsedMs: number): void;
  learnFirstToken(plan: RequestPlan, stage: PlannedStage, elapsedMs: number): void;
  learnPace(pool: string, ratio: number): void;
  learnLength(plan: RequestPlan, outputTokens: number): void;
  learnRun(plan: RequestPlan, elapsedMs: number): void;
}

/** Assumed time of a stage without samples; short, so that no request is refused for lack of samples. */
const DEFAULT_STAGE_MS = 20;

/** Histograms store integers, so ratios are stored in hundredths. */
const RATIO_SCALE = 100;

const formatStageKey = (plan: RequestPlan, stage: PlannedStage): string =>
  `${plan.service} ${plan.operation.name} ${stage.name}`;

/**
 * Creates the estimates of this host, without samples.
 *
 * @param clock - clock that timestamps the samples
 * @returns the estimates
 */
export default function createEstimates(clock: Pick<Clock, 'monotonicMs'>): Estimates {
  const lengths = createLengthEstimator();
  const quantiles = createLatencyQuantiles();
  const toLengthFacts = ({ service, operation, organisation }: RequestPlan) => ({
    operation: `${service} ${operation.name}`,
    organisation,
    inputTokens: 0,
    expectedOutputTokens: operation.expectedOutputTokens,
  });
  const outputTokens = (plan: RequestPlan): number => lengths.estimate(toLengthFacts(plan));
  const stageTokens = (plan: RequestPlan, stage: PlannedStage, resumeTokenIndex: number): number =>
    stage.kind === 'generate' ? Math.max(1, outputTokens(plan) - resumeTokenIndex) : 1;

  const stageMs = (plan: RequestPlan, stage: PlannedStage, quantile: number): number =>
    quantiles.quantile(formatStageKey(plan, stage), quantile) ?? DEFAULT_STAGE_MS;
  const stagesLeftMs = (plan: RequestPlan, fromIndex: number, quantile: number): readonly number[] =>
    plan.stages.slice(fromIndex).map((stage) => stageMs(plan, stage, quantile));
  const record = (key: string, elapsedMs: number): void => quantiles.record(key, elapsedMs, clock.monotonicMs());
  const formatRunKey = (plan: RequestPlan): string => `${plan.service} ${plan.operation.name}`;

  return {
    outputTokens,
    stageTokens,
    stageMs,
    stagesLeftMs,
    runMs: (plan, quantile) =>
      quantiles.quantile(formatRunKey(plan), quantile) ??
      plan.stages.reduce(
        (sum, stage) => sum + (quantiles.quantile(formatStageKey(plan, stage), quantile) ?? DEFAULT_STAGE_MS),
        0,
      ),
    firstTokenMs: (plan, stage, quantile) => quantiles.quantile(`first ${formatStageKey(plan, stage)}`, quantile),
    paceRatio: (pool, quantile) => {
      const scaled = quantiles.quantile(`pace ${pool}`, quantile);
      return scaled === undefined ? undefined : scaled / RATIO_SCALE;
    },
    learnFirstToken: (plan, stage, elapsedMs) => record(`first ${formatStageKey(plan, stage)}`, elapsedMs),
    learnPace: (pool, ratio) => record(`pace ${pool}`, ratio * RATIO_SCALE),
    learnStage: (plan, stage, elapsedMs) => record(formatStageKey(plan, stage), elapsedMs),
    learnLength: (plan, tokens) => lengths.learn(toLengthFacts(plan), tokens),
    learnRun: (plan, elapsedMs) => record(formatRunKey(plan), elapsedMs),
  };
}
