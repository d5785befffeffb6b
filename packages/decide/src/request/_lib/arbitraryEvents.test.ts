import fc from 'fast-check';
import type { AttemptFailure, PlannedStage, RequestPlan } from '../types.js';

const makeStage = (index: number, fields: Partial<PlannedStage>): PlannedStage => ({
  index,
  name: `s${index}`,
  kind: 'encode',
  pool: 'p',
  effect: 'repeatable',
  serversCheckFencing: false,
  serversCheckKeys: false,
  statusQuery: false,
  ...fields,
});

/** Deadline of every plan. */
export const DEADLINE_MS = 1_000;

/** Stages of a generated request; `once` has its `once` stage first, so that most runs send it. */
export type PlanShape = 'generate' | 'once' | 'once-checked';

const makeStages = (shape: PlanShape): readonly PlannedStage[] =>
  shape === 'generate'
    ? [makeStage(0, { kind: 'generate' }), makeStage(1, {}), makeStage(2, { kind: 'call', effect: 'once' })]
    : [
        makeStage(0, { kind: 'call', effect: 'once', serversCheckKeys: shape === 'once-checked' }),
        makeStage(1, {}),
        makeStage(2, { kind: 'generate' }),
      ];

/** Creates the plan of a request of the given shape. */
export const makePlan = (shape: PlanShape): RequestPlan => ({
  requestId: 'r',
  service: 'clerk',
  organisation: 'acme',
  operation: { name: 'op', idempotent: false, priority: 'money', expectedOutputTokens: 8, longOutputTokens: 64 },
  stages: makeStages(shape),
  deadlineAtMs: DEADLINE_MS,
  maxAttempts: 3,
});

/** Next step of a server, the store or the clock; `pick` counts the attempts, open or not, back from the newest. */
export type SimulatedEvent =
  | { readonly type: 'send' | 'answer' | 'hedge'; readonly pick: number }
  | { readonly type: 'fail'; readonly pick: number; readonly failure: AttemptFailure }
  | { readonly type: 'tokens'; readonly pick: number; readonly from: number; readonly count: number }
  | { readonly type: 'claim'; readonly granted: boolean }
  | { readonly type: 'recorded' }
  | { readonly type: 'time'; readonly passMs: number };

const pick = fc.oneof({ weight: 8, arbitrary: fc.constant(0) }, { weight: 1, arbitrary: fc.nat({ max: 4 }) });
const failure = fc.constantFrom<AttemptFailure>(
  { type: 'not-sent' },
  { type: 'refused', leaving: false },
  { type: 'stalled' },
  { type: 'connection-lost' },
  { type: 'invalid-answer' },
  { type: 'queue-timeout' },
  { type: 'failed', message: 'status 400' },
  { type: 'failed', message: 'status 409', executed: true },
  { type: 'failed', message: 'status 400', executed: false },
  { type: 'poisoned', retryAfterMs: 1 },
);

/** Events of one request in any order. */
export const simulatedEvents: fc.Arbitrary<readonly SimulatedEvent[]> = fc.array(
  fc.oneof(
    { weight: 6, arbitrary: fc.record({ type: fc.constantFrom('send' as const, 'answer' as const), pick }) },
    { weight: 1, arbitrary: fc.record({ type: fc.constant('hedge' as const), pick }) },
    { weight: 2, arbitrary: fc.record({ type: fc.constant('fail' as const), pick, failure }) },
    {
      weight: 3,
      arbitrary: fc.record({
        type: fc.constant('tokens' as const),
        pick,
        from: fc.nat({ max: 8 }),
        count: fc.nat({ max: 4 }),
      }),
    },
    { weight: 2, arbitrary: fc.record({ type: fc.constant('claim' as const), granted: fc.boolean() }) },
    { weight: 1, arbitrary: fc.constant({ type: 'recorded' as const }) },
    { weight: 1, arbitrary: fc.record({ type: fc.constant('time' as const), passMs: fc.nat({ max: 300 }) }) },
  ),
  { minLength: 12, maxLength: 40, size: 'max' },
);
