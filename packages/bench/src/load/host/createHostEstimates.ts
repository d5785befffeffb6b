import { shareDeadline, type PlannedStage, type RequestPlan } from '@bergamotcove/decide';
import { createEstimates, type Estimates } from '@bergamotcove/entry';
import { PREFILL_TOKENS_PER_TOKEN } from '../constants.js';
import type { Arrival, LoadStage } from '../types.js';
import type { LoadWorld, RunState } from './types.js';

/** What one host of the model expects; the daemon's own estimates answer. */
export interface HostEstimates {
  /** The daemon's estimates, with the error of the scenario in the length of the answers. */
  readonly estimates: Estimates;
  /** Engine work before the first token, which hosts do not know. */
  prefillTokens(arrival: Arrival, resumeTokens: number): number;
  /** Time for the present stage. */
  stageShareMs(run: RunState): number;
  /** Time that the stages that are left usually need. */
  typicalLeftMs(run: RunState): number;
}

const SERVICE = 'load';
const MAX_ATTEMPTS = 3;
const LONG_OUTPUT_TOKENS = 512;
const SHARE_QUANTILE = 0.95;
const TYPICAL_QUANTILE = 0.5;

const planStage = (stage: LoadStage, index: number): PlannedStage => ({
  index,
  name: stage,
  kind: stage,
  pool: stage,
  effect: stage === 'call' ? 'once' : 'repeatable',
  serversCheckFencing: false,
  serversCheckKeys: false,
  statusQuery: false,
});

/** Plans a request as the daemon does from a service document. */
export const planArrival = (arrival: Arrival): RequestPlan => ({
  requestId: String(arrival.id),
  service: SERVICE,
  organisation: arrival.organisation,
  operation: {
    name: arrival.operation.name,
    idempotent: !arrival.operation.stages.includes('call'),
    priority: arrival.operation.priority,
    expectedOutputTokens: arrival.operation.meanOutputTokens,
    longOutputTokens: LONG_OUTPUT_TOKENS,
  },
  stages: arrival.operation.stages.map(planStage),
  deadlineAtMs: arrival.atMs + arrival.operation.deadlineMs,
  maxAttempts: MAX_ATTEMPTS,
});

const withError = (estimates: Estimates, factorOf: (plan: RequestPlan) => number): Estimates => ({
  ...estimates,
  outputTokens: (plan) => estimates.outputTokens(plan) * factorOf(plan),
  stageTokens: (plan, stage, resumeTokenIndex) =>
    stage.kind === 'generate'
      ? Math.max(1, estimates.outputTokens(plan) * factorOf(plan) - resumeTokenIndex)
      : estimates.stageTokens(plan, stage, resumeTokenIndex),
});

/**
 * Creates the estimates of one host of the model.
 *
 * @param world - clock of the run
 * @param factorOf - error of the estimated length of a request
 * @returns the estimates
 */
export default function createHostEstimates(world: LoadWorld, factorOf: (plan: RequestPlan) => number): HostEstimates {
  const estimates = withError(createEstimates({ monotonicMs: () => world.events.nowMs() }), factorOf);
  const leftMs = (run: RunState, quantile: number): readonly number[] =>
    estimates.stagesLeftMs(run.plan, run.stageIndex, quantile);
  return {
    estimates,
    prefillTokens: (arrival, resumeTokens) => (arrival.operation.inputTokens + resumeTokens) / PREFILL_TOKENS_PER_TOKEN,
    stageShareMs: (run) => shareDeadline(run.deadlineAtMs - world.events.nowMs(), leftMs(run, SHARE_QUANTILE)),
    typicalLeftMs: (run) => leftMs(run, TYPICAL_QUANTILE).reduce((total, ms) => total + ms, 0),
  };
}
