import assert from 'node:assert/strict';
import { Readable } from 'node:stream';
import { test } from 'node:test';
import fc from 'fast-check';
import formatStreamEvent from './formatStreamEvent.js';
import parseEventStream, { type StreamEvent } from './parseEventStream.js';

const collect = async (chunks: readonly Buffer[]): Promise<readonly StreamEvent[]> => {
  const events: StreamEvent[] = [];
  for await (const event of parseEventStream(Readable.from(chunks))) {
    events.push(event);
  }
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
