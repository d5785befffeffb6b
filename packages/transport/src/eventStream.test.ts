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

test('events are read correctly however the byte stream is split, so that packet boundaries cannot corrupt an answer', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(eventArbitrary), fc.integer({ min: 1, max: 7 }), async (events, step) => {
      const bytes = Buffer.from(events.map(formatStreamEvent).join(''));
      const count = Math.ceil(bytes.length / step);
      const chunks = Array.from({ length: count }, (_, index) => bytes.subarray(index * step, (index + 1) * step));
      assert.deepEqual(await collect(chunks), events);
    }),
  );
});

test('a truncated event is not delivered, so that part of a token never passes for a complete one', async () => {
  const text = formatStreamEvent({ id: '1', event: 'token', data: 'a' });
  const events = await collect([Buffer.from(text), Buffer.from('id: 2\nevent: token\ndata: b')]);
  assert.equal(events.length, 1);
});

test('a CRLF that is split across two chunks is one line end, so that two events are not merged into one', async () => {
  const text = 'data: a\r\n\r\ndata: b\r\n\r\n';
  const whole = await collect([Buffer.from(text)]);
  const split = await collect([...text].map((character) => Buffer.from(character)));
  assert.deepEqual(
    whole.map(({ data }) => data),
    ['a', 'b'],
  );
  assert.deepEqual(split, whole);
});

test('an error of the callback ends the stream, so that no event is handled after it', async () => {
  const stream = Readable.from([Buffer.from('data: a\n\n'), Buffer.from('data: b\n\n')]);
  const seen: string[] = [];
  const reading = readEventStream(stream, ({ data }) => {
    seen.push(data);
    throw new Error('refused');
  });
  await assert.rejects(reading, /refused/);
  assert.deepEqual(seen, ['a']);
});
