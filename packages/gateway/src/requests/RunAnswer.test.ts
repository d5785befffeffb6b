import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import type { Refusal } from '../callers/CallerExchange.js';
import RunAnswer, { type AnswerPorts, type OpenRun } from './RunAnswer.js';
import RunRecord from './RunRecord.js';

const ANSWER = { head: { status: 503, headers: [] }, body: Buffer.from('full') };
const SERVER = { serverId: 's1', pool: 'p', address: '10.0.0.1', port: 1, failureDomain: 'a', region: 'r' };

const createFixture = (route: object = { kind: 'once', resumable: false }) => {
  const statuses: number[] = [];
  const request = { requestId: 'r1', route: { stages: [], ...route }, facts: {} } as unknown as OpenRun['request'];
  const record = new RunRecord(createManualClock(), request);
  const exchange = {
    headSent: false,
    refuse: ({ status }: Refusal) => statuses.push(status),
    sendHead: ({ status }: typeof ANSWER.head) => statuses.push(status),
    finish: () => undefined,
  } as unknown as OpenRun['exchange'];
  const ports = { logger: { event: () => undefined }, metrics: { report: () => undefined } } as unknown as AnswerPorts;
  return { statuses, record, answer: new RunAnswer({ request, exchange, record }, ports, () => undefined) };
};

const REASONS = ['overloaded', 'limited', 'poisoned', 'origin-unrecorded', 'attempts-exhausted', 'no-server'] as const;

// Guards against a promise for a request that a server has, has run or may have run.
test('a request is refused with 503 only while no attempt is in flight and none may have run', () => {
  const refuse = (reason: Refusal['reason'], note: (record: RunRecord) => void): number | undefined => {
    const { statuses, record, answer } = createFixture();
    note(record);
    answer.refuse(reason, 100);
    answer.refuse('stopping', 100);
    assert.equal(statuses.length, 1);
    return statuses[0];
  };
  const noteUnrun = (record: RunRecord): void => {
    record.noteSending();
    record.noteAttemptEnd();
  };
  const noteLost = (record: RunRecord): void => {
    record.noteSending();
    record.noteRun(true);
    record.noteAttemptEnd();
  };
  [...REASONS, 'stopping' as const, 'timed-out' as const].forEach((reason) => {
    const failure = reason === 'stopping' || reason === 'timed-out' ? 504 : 502;
    assert.deepEqual(
      [() => undefined, noteUnrun, (record: RunRecord) => record.noteSending(), noteLost].map((note) =>
        refuse(reason, note),
      ),
      [503, 503, failure, failure],
      reason,
    );
  });
});

test('a server that refuses a request without its statement is answered for with 502, unless it may run again', () => {
  const deliver = (route?: object): readonly number[] => {
    const { statuses, record, answer } = createFixture(route);
    record.noteRun(true);
    answer.deliver({ ...SERVER, state: 'live' }, ANSWER);
    return statuses;
  };
  assert.deepEqual(deliver(), [502]);
  assert.deepEqual(deliver({ kind: 'stream', resumable: false }), [502]);
  assert.deepEqual(deliver({ kind: 'stream', resumable: true }), [503]);
  assert.deepEqual(deliver({ kind: 'idempotent', resumable: false }), [503]);
});
