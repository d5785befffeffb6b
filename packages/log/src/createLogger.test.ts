import assert from 'node:assert/strict';
import { test } from 'node:test';
import debug from 'debug';
import createLineWriter from './createLineWriter.js';
import createLogger, { type LoggerOptions } from './createLogger.js';
import { LOG_EVENTS } from './events.js';

const capture = (run: (options: LoggerOptions) => void): string => {
  const lines: string[] = [];
  debug.enable('bergamot:*');
  try {
    run({ writer: createLineWriter({ destination: { write: (line) => lines.push(line) } }) });
  } finally {
    debug.disable();
  }
  return lines.join('');
};

test('event ids are unique and have four digits, so that a search for an id finds one event', () => {
  const specs = Object.values(LOG_EVENTS);
  assert.equal(new Set(specs.map((spec) => spec.id)).size, specs.length);
  assert.ok(specs.every(({ id }) => id >= 1_000 && id < 10_000));
});

test('objects and fields named like payloads do not compile', () => {
  const payload = { name: 'Ada' };
  const text = capture((options) => {
    const logger = createLogger('test', {}, options);
    // @ts-expect-error An object may be a payload.
    logger.event('attemptFailed', { detail: payload });
    // @ts-expect-error The field name is reserved for payloads.
    logger.event('attemptFailed', { input: 'Ada' });
  });
  assert.match(text, /2003/);
});

test('a long text is truncated, because parsers quote what they could not parse', () => {
  const text = capture((options) =>
    createLogger('test', {}, options).event('attemptFailed', { error: 'x'.repeat(1_000) }),
  );
  assert.ok(text.length < 600);
});

test('a line is one JSON object with the time, the event id, the host and the fields of the event', () => {
  const text = capture((options) => createLogger('test', { hostId: 'h1' }, options).event('hostReady', { port: 80 }));
  const { time, ...facts } = JSON.parse(text) as Record<string, unknown>;
  assert.equal(typeof time, 'number');
  assert.deepEqual(facts, { event: 1002, name: 'hostReady', level: 'info', hostId: 'h1', port: 80 });
});

test('lines beyond the limit per second are dropped, and the next second reports their number', () => {
  const lines: string[] = [];
  let nowMs = 5_000;
  const writer = createLineWriter({
    destination: { write: (line) => lines.push(line) },
    maxLinesPerSecond: 3,
    now: () => nowMs,
  });
  [1, 2, 3, 4, 5].forEach((number) => writer.write('info', { number }));
  nowMs = 6_000;
  writer.write('info', { number: 6 });
  const written = lines.map((line) => JSON.parse(line) as Record<string, unknown>);
  assert.deepEqual(
    written.map(({ number, lines: dropped }) => number ?? `${dropped} dropped`),
    [1, 2, 3, '2 dropped', 6],
  );
});
