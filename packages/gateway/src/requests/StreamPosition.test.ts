import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import StreamPosition from './StreamPosition.js';

const listEvents = (ids: readonly (number | undefined)[]) =>
  ids.map((id, startBytes) => ({ id: id === undefined ? undefined : String(id), startBytes }));

const id = fc.integer({ min: 0, max: 6 });

test('whatever servers send, the events of a stream increase, and no answer leaves a gap to the one before', () => {
  fc.assert(
    fc.property(fc.option(id, { nil: undefined }), fc.array(fc.array(id)), (last, answers) => {
      const position = new StreamPosition(last === undefined ? undefined : String(last));
      let previous = last;
      answers.forEach((ids) => {
        position.beginAnswer();
        const events = listEvents(ids);
        const misplaced = position.advance(events);
        const passed = ids.slice(0, misplaced?.startBytes);
        passed.forEach((next, nth) => {
          assert.ok(previous === undefined || (nth === 0 ? next === previous + 1 : next > previous));
          previous = next;
        });
        assert.equal(position.lastEventId, previous === undefined ? undefined : String(previous));
        assert.ok(misplaced === undefined || passed.length < ids.length);
      });
    }),
  );
});

test('ids may have gaps within an answer', () => {
  const position = new StreamPosition();
  assert.equal(position.advance(listEvents([1, 4, 9])), undefined);
  assert.equal(position.lastEventId, '9');
});

test('a stream whose events have no ids cannot be continued, and gets no event of another answer', () => {
  const position = new StreamPosition();
  assert.equal(position.advance(listEvents([undefined, undefined])), undefined);
  assert.equal(position.canContinue, false);
  position.beginAnswer();
  assert.deepEqual(position.advance(listEvents([1])), { id: '1', startBytes: 0 });
});

test('an event without id is part of the stream after one that has an id', () => {
  const position = new StreamPosition();
  assert.equal(position.advance(listEvents([1, undefined, 2])), undefined);
  assert.deepEqual([position.lastEventId, position.canContinue], ['2', true]);
});

test('no event follows a position that was given up, and no other answer goes on with the stream', () => {
  const position = new StreamPosition('1');
  position.lose();
  position.beginAnswer();
  const events = listEvents([2]);
  assert.equal(position.advance(events), events[0]);
  assert.equal(position.canContinue, false);
});
