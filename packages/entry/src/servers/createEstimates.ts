import type { Clock } from '@bergamotcove/clock';
import {
  createLengthEstimator,
  createLatencyQuantiles,
  type PlannedStage,
  type RequestPlan,
} from '@bergamotcove/decide';

/** What this host expects of requests, from the documents and from what it has seen. */
export interface Estimates {
  /** Output tokens of a generation. */
  outputTokens(plan: RequestPlan): number;
  /** Work of an attempt at a stage, in tokens. */
  stageTokens(plan: RequestPlan, stage: PlannedStage, resumeTokenIndex: number): number;
  /** Time of a stage at a learnt quantile. */
  stageMs(plan: RequestPlan, stage: PlannedStage, quantile: number): number;
  /** Times of the stages from the given one on, at a learnt quantile. */
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

/** Time of a stage of which nothing is known; short, so that no request is refused for lack of knowledge. */
const DEFAULT_STAGE_MS = 20;

/** Histograms keep whole numbers; ratios are kept in hundredths. */
const RATIO_SCALE = 100;

const formatStageKey = (plan: RequestPlan, stage: PlannedStage): string =>
  `${plan.service} ${plan.operation.name} ${stage.name}`;

/**
 * Creates the estimates of this host.
 *
 * @param clock - time of the samples
 * @returns the estimates
 */
export default function createEstimates(clock: Pick<Clock, 'monotonicMs'>): Estimates {
  const lengths = createLengthEstimator();
  const quantiles = createLatencyQuantiles();
  const facts = ({ service, operation, organisation }: RequestPlan) => ({
    operation: `${service} ${operation.name}`,
    organisation,
    inputTokens: 0,
    expectedOutputTokens: operation.expectedOutputTokens,
  });
  const outputTokens = (plan: RequestPlan): number => lengths.estimate(facts(plan));
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
    learnLength: (plan, tokens) => lengths.learn(facts(plan), tokens),
    learnRun: (plan, elapsedMs) => record(formatRunKey(plan), elapsedMs),
  };
}
