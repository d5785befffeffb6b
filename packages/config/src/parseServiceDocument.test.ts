import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import ConfigError from './ConfigError.js';
import { parseAcceptedDocument, parseServiceDocument } from './parseServiceDocument.js';
import parseWith from './parseWith.js';
import { settingsSchema } from './settingsSchema.js';

const RUNS = 500;

const valid = {
  service: 'clerk',
  team: 'clerk-team',
  deadlineMs: 3_000,
  stages: [
    { name: 'encode', kind: 'encode', pool: 'encoders' },
    { name: 'rerank', kind: 'rerank', pool: 'rerankers' },
    { name: 'post', kind: 'call', pool: 'ledger', effect: 'once' },
  ],
  operations: [
    { name: 'find', idempotent: true, priority: 'interactive', stages: ['encode', 'rerank'] },
    { name: 'post', idempotent: false, priority: 'money' },
  ],
  organisations: { default: { requestsPerSecond: 10, tokensPerSecond: 100 } },
};

const validSettings = {
  host: { id: 'a', address: '10.0.0.1', failureDomain: 'd1', region: 'r1' },
  callers: { port: 80 },
  peers: { port: 81, keys: [{ id: 'k1', secret: 'sixteen characters' }] },
  store: { urls: ['http://10.0.0.5:2379'] },
  hostList: { url: 'http://10.0.0.6/v1/hosts' },
};

/** Replaces the value at one randomly chosen path of an object. */
const replaceAtPath = (value: unknown, steps: readonly number[], replacement: unknown): unknown => {
  const [step, ...rest] = steps;
  if (step === undefined || typeof value !== 'object' || value === null) {
    return replacement;
  }
  const keys = Object.keys(value);
  const key = keys[step % Math.max(1, keys.length)];
  if (key === undefined) {
    return replacement;
  }
  const changed = replaceAtPath(Reflect.get(value, key), rest, replacement);
  return Array.isArray(value)
    ? value.map((item: unknown, index) => (String(index) === key ? changed : item))
    : { ...value, [key]: changed };
};

const isParsedOrConfigError = (parse: () => unknown): boolean => {
  try {
    return typeof parse() === 'object';
  } catch (error) {
    return error instanceof ConfigError && error.message.startsWith('x.json: ');
  }
};

const mutated = (base: unknown) =>
  fc
    .tuple(fc.array(fc.nat(20), { maxLength: 5 }), fc.jsonValue())
    .map(([steps, replacement]) => replaceAtPath(base, steps, replacement));

test('parsing any JSON gives a service document or a ConfigError, so that no input crashes a host', () => {
  const values = fc.oneof(fc.jsonValue(), mutated(valid));
  fc.assert(
    fc.property(values, (value) => isParsedOrConfigError(() => parseServiceDocument(value, { source: 'x.json' }))),
    { numRuns: RUNS },
  );
});

test('parsing any text under a store key gives an accepted document or a ConfigError', () => {
  const accepted = { document: valid, version: 1, changeId: 'c', acceptedBy: 'ann', acceptedAtMs: 1 };
  const texts = fc.oneof(
    fc.string(),
    mutated(accepted).map((value) => JSON.stringify(value)),
  );
  fc.assert(
    fc.property(texts, (text) => isParsedOrConfigError(() => parseAcceptedDocument(text, { source: 'x.json' }))),
    { numRuns: RUNS },
  );
});

test('parsing any JSON gives settings or a ConfigError', () => {
  const values = fc.oneof(fc.jsonValue(), mutated(validSettings));
  fc.assert(
    fc.property(values, (value) => isParsedOrConfigError(() => parseWith(settingsSchema, value, { source: 'x.json' }))),
    { numRuns: RUNS },
  );
});

test('parsing a parsed document again changes nothing, so that a rollback writes the same content', () => {
  const once = parseServiceDocument(valid, { source: 'x.json' });
  assert.deepEqual(parseServiceDocument(JSON.parse(JSON.stringify(once)), { source: 'x.json' }), once);
});

const messageCases: readonly { change: object; expected: RegExp }[] = [
  { change: { deadlineMs: 'soon' }, expected: /^x\.json: deadlineMs: expected number, found "soon"$/ },
  { change: { deadlineMs: 10 }, expected: /deadlineMs: expected at least 50, found 10/ },
  { change: { stages: [] }, expected: /stages: expected at least 3 items, found a list of 0/ },
  { change: { colour: 'red' }, expected: /colour: expected no field of this name, found an unknown field/ },
  { change: { team: undefined }, expected: /team: expected string, found nothing/ },
  { change: { service: 'Clerk' }, expected: /service: expected a name of lower-case letters.*found "Clerk"/ },
];

messageCases.forEach(({ change, expected }) => {
  test(`the error names the file, the path, the expected and the found value: ${JSON.stringify(change)}`, () => {
    assert.throws(() => parseServiceDocument({ ...valid, ...change }, { source: 'x.json' }), { message: expected });
  });
});

test('a peer secret that is too short does not appear in the error message', () => {
  const value = { ...validSettings, peers: { port: 1, keys: [{ id: 'k1', secret: 'hunter2' }] } };
  assert.throws(
    () => parseWith(settingsSchema, value, { source: 'x.json' }),
    (error: Error) => error.message.includes('a secret of 7 characters') && !error.message.includes('hunter2'),
  );
});
