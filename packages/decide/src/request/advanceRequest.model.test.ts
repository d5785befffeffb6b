import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { DEADLINE_MS, happenings, makePlan, type Happening, type PlanShape } from './_lib/arbitraryEvents.test.js';
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
/** Length of every generated answer; engines report it whether or not all tokens arrived. */
const ANSWER_TOKENS = 3;

/** Whether a failed attempt that was sent may have run at its server. */
const provesNotRun = (failure: AttemptFailure): boolean =>
  failure.type === 'refused' ||
  failure.type === 'not-sent' ||
  (failure.type === 'failed' && failure.executed === false);

interface Sent {
  readonly stage: PlannedStage;
  readonly resumeTokenIndex: number;
  sent: boolean;
  proven: boolean;
}

/** Runs one request and keeps what really left the host, independent of the reducer's own view. */
class Model {
  state: RequestState;

  nowMs = 0;

  granted = false;

  readonly attempts = new Map<string, Sent>();

  readonly tokens: string[] = [];

  readonly results: RequestResult[] = [];

  records = 0;

  constructor(shape: PlanShape) {
    this.state = createRequestState(makePlan(shape));
    this.handle({ type: 'started' });
  }

  apply(happening: Happening): void {
    const attemptId = `r.${this.attempts.size - 1 - ('pick' in happening ? happening.pick : 0)}`;
    const attempt = this.attempts.get(attemptId);
    switch (happening.type) {
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
        this.fail(attemptId, happening.failure);
        break;
      case 'tokens': {
        const firstTokenIndex = (attempt?.resumeTokenIndex ?? 0) + happening.from;
        const length = Math.max(0, Math.min(happening.count, ANSWER_TOKENS - firstTokenIndex));
        const tokens = Array.from({ length }, (_, offset) => `t${firstTokenIndex + offset} `);
        this.handle({ type: 'tokens-arrived', attemptId, firstTokenIndex, tokens });
        break;
      }
      case 'hedge':
        this.handle({ type: 'hedge-due', attemptId });
        break;
      case 'claim':
        this.decideClaim(happening.granted);
        break;
      case 'recorded':
        this.handle({ type: 'recorded' });
        break;
      default:
        this.pass(happening.passMs);
    }
  }

  finish(): void {
    this.pass(DEADLINE_MS);
    this.handle({ type: 'recorded' });
  }

  private decideClaim(granted: boolean): void {
    if (this.state.phase.type === 'claiming') {
      this.granted = granted;
      const decision = granted ? { type: 'granted' as const } : { type: 'unavailable' as const, retryAfterMs: 1 };
      this.handle({ type: 'claim-decided', decision });
    }
  }

  /** The dispatcher checks the deadline just before the first byte. */
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
      attempt.proven = provesNotRun(failure);
      this.handle({ type: 'attempt-failed', attemptId, failure, retryAllowed: true });
    }
  }

  private pass(passMs: number): void {
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
      this.attempts.set(action.attemptId, { stage, resumeTokenIndex, sent: false, proven: false });
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

const run = (shape: PlanShape, steps: readonly Happening[]): Model => {
  const model = new Model(shape);
  steps.forEach((happening) => model.apply(happening));
  model.finish();
  return model;
};

const listOnce = (model: Model) =>
  [...model.attempts.values()].filter((attempt) => attempt.stage.effect === 'once' && attempt.sent);

const check = (property: (model: Model) => void, shape: PlanShape = 'once'): void =>
  fc.assert(
    fc.property(happenings, (steps) => property(run(shape, steps))),
    { numRuns: RUNS, seed: 4_713 },
  );

test('the runs reach the once stage often enough to mean something', () => {
  let reached = 0;
  check((model) => {
    reached += listOnce(model).length > 0 ? 1 : 0;
  });
  assert.ok(reached > RUNS / 4, `only ${reached} of ${RUNS} runs sent a once call`);
});

test('every request ends exactly once, however its events are ordered', () => {
  check((model) => assert.equal(model.results.length, 1));
  check((model) => assert.equal(model.results.length, 1), 'generate');
});

test('not-run is never said while a once call left without proof that it did not run', () => {
  check((model) => {
    const [result] = model.results;
    const unproven = listOnce(model).filter((attempt) => !attempt.proven);
    if (result?.type === 'refused' && result.outcome === 'not-run') {
      assert.equal(unproven.length, 0);
    }
  });
});

test('a once call that left unproven is the last one, and none leaves without a granted claim', () => {
  check((model) => {
    const sent = listOnce(model);
    assert.ok(
      sent.slice(0, -1).every((attempt) => attempt.proven),
      'a call was sent again',
    );
    assert.ok(sent.length === 0 || model.granted, 'a call was sent without a claim');
    assert.ok(!model.granted || model.records === 1, 'a granted claim was not recorded');
  });
});

test('servers that check keys may get the call again, but never with a false not-run', () => {
  check((model) => {
    const [result] = model.results;
    const unproven = listOnce(model).filter((attempt) => !attempt.proven);
    assert.ok(!(result?.type === 'refused' && result.outcome === 'not-run') || unproven.length === 0);
  }, 'once-checked');
});

test('the emitted tokens are exactly the text of the generation, whatever arrives late, twice or with gaps', () => {
  check((model) => {
    assert.deepEqual(
      model.tokens,
      model.tokens.map((_, index) => `t${index} `),
    );
    const text = (model.state.outputs.find(({ stage }) => stage === 's0')?.output as { text?: string } | undefined)
      ?.text;
    assert.ok(text === undefined || text === 't0 t1 t2 ', `a cut answer looks whole: ${text}`);
  }, 'generate');
});
