import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  DEADLINE_MS,
  simulatedEvents,
  makePlan,
  type SimulatedEvent,
  type PlanShape,
} from './_lib/arbitraryEvents.test.js';
import advanceRequest from './advanceRequest.js';
import createRequestState from './createRequestState.js';
import type {
  AttemptFailure,
  PlannedStage,
  RequestAction,
  RequestEvent,
  RequestResult,
  RequestState,
} from './types.js';

const RUNS = 3_000;
/** Token count that engines report for every generated answer, whether or not all tokens arrived. */
const ANSWER_TOKENS = 3;

/** Whether the failure of a sent attempt proves that its server did not run it. */
const provesNotRun = (failure: AttemptFailure): boolean =>
  failure.type === 'refused' ||
  failure.type === 'not-sent' ||
  (failure.type === 'failed' && failure.executed === false);

interface ModelAttempt {
  readonly stage: PlannedStage;
  readonly resumeTokenIndex: number;
  sent: boolean;
  provenNotRun: boolean;
}

/** Runs one request and tracks what the host actually sent, independently of the state of the reducer. */
class Model {
  state: RequestState;

  nowMs = 0;

  granted = false;

  readonly attempts = new Map<string, ModelAttempt>();

  readonly tokens: string[] = [];

  readonly results: RequestResult[] = [];

  records = 0;

  constructor(shape: PlanShape) {
    this.state = createRequestState(makePlan(shape));
    this.handle({ type: 'started' });
  }

  apply(event: SimulatedEvent): void {
    const attemptId = `r.${this.attempts.size - 1 - ('pick' in event ? event.pick : 0)}`;
    const attempt = this.attempts.get(attemptId);
    switch (event.type) {
      case 'send':
        this.send(attemptId);
        break;
      case 'answer':
        if (attempt?.sent === true) {
          const tokenCount = attempt.stage.kind === 'generate' ? ANSWER_TOKENS : 0;
          this.handle({ type: 'attempt-answered', attemptId, output: { tokenCount } });
        }
        break;
      case 'fail':
        this.fail(attemptId, event.failure);
        break;
      case 'tokens': {
        const firstTokenIndex = (attempt?.resumeTokenIndex ?? 0) + event.from;
        const length = Math.max(0, Math.min(event.count, ANSWER_TOKENS - firstTokenIndex));
        const tokens = Array.from({ length }, (_, offset) => `t${firstTokenIndex + offset} `);
        this.handle({ type: 'tokens-arrived', attemptId, firstTokenIndex, tokens });
        break;
      }
      case 'hedge':
        this.handle({ type: 'hedge-due', attemptId });
        break;
      case 'claim':
        this.decideClaim(event.granted);
        break;
      case 'recorded':
        this.handle({ type: 'recorded' });
        break;
      default:
        this.advanceTime(event.passMs);
    }
  }

  finish(): void {
    this.advanceTime(DEADLINE_MS);
    this.handle({ type: 'recorded' });
  }

  private decideClaim(granted: boolean): void {
    if (this.state.phase.type === 'claiming') {
      this.granted = granted;
      const decision = granted ? { type: 'granted' as const } : { type: 'unavailable' as const, retryAfterMs: 1 };
      this.handle({ type: 'claim-decided', decision });
    }
  }

  /** Like the dispatcher, checks the deadline just before the first byte is sent. */
  private send(attemptId: string): void {
    const attempt = this.attempts.get(attemptId);
    const open = this.state.attempts.some((other) => other.attemptId === attemptId && other.status === 'queued');
    if (attempt !== undefined && open && this.nowMs < DEADLINE_MS) {
      attempt.sent = true;
      this.handle({ type: 'attempt-sent', attemptId, serverId: `server-${attemptId}` });
    }
  }

  private fail(attemptId: string, failure: AttemptFailure): void {
    const attempt = this.attempts.get(attemptId);
    if (attempt !== undefined && this.state.attempts.some((other) => other.attemptId === attemptId)) {
      attempt.provenNotRun = provesNotRun(failure);
      this.handle({ type: 'attempt-failed', attemptId, failure, retryAllowed: true });
    }
  }

  private advanceTime(passMs: number): void {
    this.nowMs += passMs;
    if (this.nowMs >= DEADLINE_MS) {
      this.handle({ type: 'deadline-passed' });
    }
  }

  private handle(event: RequestEvent): void {
    const step = advanceRequest(this.state, event, this.nowMs);
    this.state = step.state;
    step.actions.forEach((action) => this.perform(action));
  }

  private perform(action: RequestAction): void {
    if (action.type === 'dispatch') {
      const { resumeTokenIndex, stage } = action;
      this.attempts.set(action.attemptId, { stage, resumeTokenIndex, sent: false, provenNotRun: false });
    } else if (action.type === 'emit-tokens') {
      assert.equal(action.firstTokenIndex, this.tokens.length, 'tokens were emitted with a gap or twice');
      this.tokens.push(...action.tokens);
    } else if (action.type === 'finish') {
      this.results.push(action.result);
    } else if (action.type === 'record') {
      this.records += 1;
    }
  }
}

const run = (shape: PlanShape, steps: readonly SimulatedEvent[]): Model => {
  const model = new Model(shape);
  steps.forEach((event) => model.apply(event));
  model.finish();
  return model;
};

const listSentOnce = (model: Model) =>
  [...model.attempts.values()].filter((attempt) => attempt.stage.effect === 'once' && attempt.sent);

const check = (property: (model: Model) => void, shape: PlanShape = 'once'): void =>
  fc.assert(
    fc.property(simulatedEvents, (steps) => property(run(shape, steps))),
    { numRuns: RUNS, seed: 4_713 },
  );

test('at least a quarter of the runs send the once stage, so that the other properties are not vacuous', () => {
  let reached = 0;
  check((model) => {
    reached += listSentOnce(model).length > 0 ? 1 : 0;
  });
  assert.ok(reached > RUNS / 4, `only ${reached} of ${RUNS} runs sent a once call`);
});

test('every request ends exactly once for any order of events', () => {
  check((model) => assert.equal(model.results.length, 1));
  check((model) => assert.equal(model.results.length, 1), 'generate');
});

test('the outcome is never not-run when a once call was sent without proof that it did not run', () => {
  check((model) => {
    const [result] = model.results;
    const unproven = listSentOnce(model).filter((attempt) => !attempt.provenNotRun);
    if (result?.type === 'refused' && result.outcome === 'not-run') {
      assert.equal(unproven.length, 0);
    }
  });
});

test('a once call is not sent again without proof that it did not run, and never sent without a granted claim', () => {
  check((model) => {
    const sent = listSentOnce(model);
    assert.ok(
      sent.slice(0, -1).every((attempt) => attempt.provenNotRun),
      'a call was sent again',
    );
    assert.ok(sent.length === 0 || model.granted, 'a call was sent without a claim');
    assert.ok(!model.granted || model.records === 1, 'a granted claim was not recorded');
  });
});

test('a call to servers that check keys may be sent again, but the outcome is never falsely not-run', () => {
  check((model) => {
    const [result] = model.results;
    const unproven = listSentOnce(model).filter((attempt) => !attempt.provenNotRun);
    assert.ok(!(result?.type === 'refused' && result.outcome === 'not-run') || unproven.length === 0);
  }, 'once-checked');
});

test('the emitted tokens equal the generated text when tokens arrive late, twice or with gaps', () => {
  check((model) => {
    assert.deepEqual(
      model.tokens,
      model.tokens.map((_, index) => `t${index} `),
    );
    const text = (model.state.outputs.find(({ stage }) => stage === 's0')?.output as { text?: string } | undefined)
      ?.text;
    assert.ok(text === undefined || text === 't0 t1 t2 ', `a truncated answer was accepted as complete: ${text}`);
  }, 'generate');
});
