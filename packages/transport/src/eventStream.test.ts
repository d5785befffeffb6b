import assert from 'node:assert/strict';
import { Readable } from 'node:stream';
import { test } from 'node:test';
import fc from 'fast-check';
import formatStreamEvent from './formatStreamEvent.js';
import readEventStream, { type StreamEvent } from './readEventStream.js';

const collect = async (chunks: readonly Buffer[]): Promise<readonly StreamEvent[]> => {
  const events: StreamEvent[] = [];
  await readEventStream(Readable.from(chunks), (event) => events.push(event));
  return events;
};

const eventArbitrary = fc.record(
  {
    id: fc.nat().map(String),
    event: fc.constantFrom('token', 'final'),
    data: fc.string({ unit: 'grapheme' }).filter((text) => !text.includes('\r')),
  },
  { noNullPrototype: true },
);

test('events survive any split of the byte stream, so that packet borders cannot damage an answer', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(eventArbitrary), fc.integer({ min: 1, max: 7 }), async (events, step) => {
      const bytes = Buffer.from(events.map(formatStreamEvent).join(''));
      const count = Math.ceil(bytes.length / step);
      const chunks = Array.from({ length: count }, (_, index) => bytes.subarray(index * step, (index + 1) * step));
      assert.deepEqual(await collect(chunks), events);
    }),
  );
});

test('a cut event is not delivered, so that half a token never looks whole', async () => {
  const text = formatStreamEvent({ id: '1', event: 'token', data: 'a' });
  const events = await collect([Buffer.from(text), Buffer.from('id: 2\nevent: token\ndata: b')]);
  assert.equal(events.length, 1);
});

test('line ends of two characters survive a split between them, so that two events are not taken for one', async () => {
  const text = 'data: a\r\n\r\ndata: b\r\n\r\n';
  const whole = await collect([Buffer.from(text)]);
  const split = await collect([...text].map((character) => Buffer.from(character)));
  assert.deepEqual(
    whole.map(({ data }) => data),
    ['a', 'b'],
  );
  assert.deepEqual(split, whole);
});

test('a failing receiver ends the stream, so that no event is handled after an error', async () => {
  const stream = Readable.from([Buffer.from('data: a\n\n'), Buffer.from('data: b\n\n')]);
  const seen: string[] = [];
  const reading = readEventStream(stream, ({ data }) => {
    seen.push(data);
    throw new Error('refused');
  });
  await assert.rejects(reading, /refused/);
  assert.deepEqual(seen, ['a']);
});
