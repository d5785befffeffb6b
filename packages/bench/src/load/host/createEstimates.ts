import { createLengthBook, createQuantileBook, shareDeadline, type PoolBook } from '@bergamotcove/decide';
import { PREFILL_TOKENS_PER_TOKEN } from '../constants.js';
import type { Arrival, LoadStage } from '../types.js';
import type { LoadWorld, RunState } from './types.js';

/** What one host expects of requests and stages. */
export interface Estimates {
  outputTokens(arrival: Arrival): number;
  /** Work of the generation that is left, in tokens. */
  prefillTokens(arrival: Arrival, resumeTokens: number): number;
  stageMs(run: RunState, stage: LoadStage, quantile: number): number;
  /** Time from admission to the answer that nearly all requests of this kind keep. */
  runMs(arrival: Arrival, estimateTokens: number): number;
  /** Time that half of the requests of this kind need from admission to the answer. */
  typicalMs(arrival: Arrival, estimateTokens: number): number;
  /** Time for the present stage. */
  stageShareMs(run: RunState): number;
  /** Time that the stages that are left need at least; only a request without that time is given up. */
  leastMs(run: RunState): number;
  /** Time that the stages that are left usually need. */
  typicalLeftMs(run: RunState): number;
  learnStage(run: RunState, stage: LoadStage, elapsedMs: number): void;
  learnRun(run: RunState): void;
  learnPace(ratio: number): void;
  paceQuantile(quantile: number): number | undefined;
  /** Time from sending to the first token, relative to the usual prefill time. */
  learnSilence(ratio: number): void;
  silenceQuantile(quantile: number): number | undefined;
}

const DEFAULT_STAGE_MS = 30;
const RUN_QUANTILE = 0.95;
const TYPICAL_QUANTILE = 0.5;
const SHARE_QUANTILE = 0.95;
/** Answers are rarely shorter than this part of their estimate, also when estimates are off by 4 times. */
const SURE_LENGTH_SHARE = 0.25;
const RATIO_SCALE = 100;
/** Allowance for the spread of lengths before the run times are learnt. */
const FIRST_RUN_FACTOR = 2.5;

const facts = ({ operation, organisation }: Arrival) => ({
  operation: operation.name,
  organisation,
  inputTokens: operation.inputTokens,
  expectedOutputTokens: operation.meanOutputTokens,
});

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

const prefillTokens = (arrival: Arrival, resumeTokens: number): number =>
  (arrival.operation.inputTokens + resumeTokens) / PREFILL_TOKENS_PER_TOKEN;

/** Creates the estimates of one host. */
export default function createEstimates(world: LoadWorld, book: PoolBook): Estimates {
  const lengths = createLengthBook();
  const quantiles = createQuantileBook();
  const nowMs = (): number => world.events.nowMs();
  const poolMsPerToken = (): number => book.msPerToken('generate', world.listServers('generate'), nowMs());

  const stageMs = (run: RunState, stage: LoadStage, quantile: number): number => {
    if (stage !== 'generate') {
      return quantiles.quantile(stage, quantile) ?? DEFAULT_STAGE_MS;
    }
    const tokens = prefillTokens(run.arrival, run.arrivedTokens) + run.estimateTokens - run.arrivedTokens;
    return Math.max(1, tokens) * poolMsPerToken();
  };
  const stagesLeft = (run: RunState): readonly LoadStage[] => run.arrival.operation.stages.slice(run.stageIndex);

  const readRatio = (key: string, quantile: number): number | undefined => {
    const value = quantiles.quantile(key, quantile);
    return value === undefined ? undefined : value / RATIO_SCALE;
  };

  return {
    prefillTokens,
    stageMs,
    outputTokens: (arrival) => lengths.estimate(facts(arrival)) * arrival.estimateFactor,
    runMs: (arrival, estimateTokens) =>
      quantiles.quantile(`run ${arrival.operation.name}`, RUN_QUANTILE) ??
      arrival.operation.stages.length * DEFAULT_STAGE_MS + estimateTokens * poolMsPerToken() * FIRST_RUN_FACTOR,
    typicalMs: (arrival, estimateTokens) =>
      quantiles.quantile(`run ${arrival.operation.name}`, TYPICAL_QUANTILE) ??
      arrival.operation.stages.length * DEFAULT_STAGE_MS + estimateTokens * poolMsPerToken(),
    stageShareMs: (run) =>
      shareDeadline(
        run.deadlineAtMs - nowMs(),
        stagesLeft(run).map((stage) => stageMs(run, stage, SHARE_QUANTILE)),
      ),
    leastMs: (run) =>
      sum(stagesLeft(run).map((stage) => stageMs(run, stage, 0.5) * (stage === 'generate' ? SURE_LENGTH_SHARE : 1))),
    typicalLeftMs: (run) => sum(stagesLeft(run).map((stage) => stageMs(run, stage, 0.5))),
    learnStage: (_run, stage, elapsedMs) => quantiles.record(stage, elapsedMs, nowMs()),
    learnRun: (run) => {
      lengths.learn(facts(run.arrival), run.arrival.outputTokens);
      quantiles.record(`run ${run.arrival.operation.name}`, nowMs() - run.releasedAtMs, nowMs());
    },
    learnPace: (ratio) => quantiles.record('pace', ratio * RATIO_SCALE, nowMs()),
    paceQuantile: (quantile) => readRatio('pace', quantile),
    learnSilence: (ratio) => quantiles.record('silence', ratio * RATIO_SCALE, nowMs()),
    silenceQuantile: (quantile) => readRatio('silence', quantile),
  };
}
