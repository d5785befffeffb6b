import type { Arrival } from '../types.js';
import { planArrival, type HostEstimates } from './createHostEstimates.js';
import type { RunState } from './types.js';

const RUN_QUANTILE = 0.95;
const TYPICAL_QUANTILE = 0.5;

/** Creates the state of a request that has just arrived at a host. */
export default function createRunState(arrival: Arrival, hostEstimates: HostEstimates, nowMs: number): RunState {
  const { estimates } = hostEstimates;
  const plan = planArrival(arrival);
  return {
    requestId: plan.requestId,
    organisation: arrival.organisation,
    weight: arrival.weight,
    priority: arrival.operation.priority,
    costTokens: Math.max(1, estimates.outputTokens(plan)),
    deadlineAtMs: plan.deadlineAtMs,
    runMs: estimates.runMs(plan, RUN_QUANTILE),
    typicalMs: estimates.runMs(plan, TYPICAL_QUANTILE),
    arrival,
    plan,
    stageIndex: 0,
    stageAttempts: 0,
    attempts: [],
    waiting: [],
    avoidServers: [],
    arrivedTokens: 0,
    releasedAtMs: nowMs,
    admitted: false,
    finished: false,
  };
}
