import assert from 'node:assert/strict';
import { test } from 'node:test';
import debug from 'debug';
import createLogger from './createLogger.js';
import { LOG_EVENTS } from './events.js';

const capture = (write: () => void): string => {
  const lines: string[] = [];
  const before = debug.log;
  debug.log = (...args: unknown[]) => lines.push(args.join(' '));
  debug.enable('bergamot:*');
  try {
    write();
  } finally {
    debug.log = before;
    debug.disable();
  }
  return lines.join('\n');
};

test('event ids are unique and their thousands name the area, so that a search for an id finds one event', () => {
  const specs = Object.values(LOG_EVENTS);
  assert.equal(new Set(specs.map((spec) => spec.id)).size, specs.length);
  assert.ok(specs.every(({ id }) => id >= 1_000 && id < 10_000));
});

test('objects and fields named like payloads do not compile', () => {
  const logger = createLogger('test');
  const payload = { name: 'Ada' };
  const text = capture(() => {
    // @ts-expect-error An object may be a payload.
    logger.event('attemptFailed', { detail: payload });
    // @ts-expect-error The field name stands for a payload.
    logger.event('attemptFailed', { input: 'Ada' });
  });
  assert.match(text, /2003/);
});

test('a long text is cut, because parsers quote what they could not parse', () => {
  const text = capture(() => createLogger('test').event('attemptFailed', { error: 'x'.repeat(1_000) }));
  assert.ok(text.length < 600);
});
