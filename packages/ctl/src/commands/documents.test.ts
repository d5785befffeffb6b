import assert from 'node:assert/strict';
import { test } from 'node:test';
import runCli from '../cli/runCli.js';
import createTestPorts, { type TestPorts } from '../testing/createTestPorts.js';
import sampleDocument from '../testing/sampleDocument.js';
import type { TxnFault } from '../testing/createMemoryStore.js';
import COMMANDS from './index.js';

const STORE = ['--store', 'http://10.0.0.5:2379'];

const run = async (ports: TestPorts, ...argv: string[]) => {
  ports.out.splice(0);
  const exitCode = await runCli(COMMANDS, argv, ports);
  return { exitCode, text: ports.out.join('\n') };
};

const applyVersions = async (count: number): Promise<TestPorts> => {
  const ports = createTestPorts();
  for (let index = 1; index <= count; index += 1) {
    ports.files.set('clerk.json', sampleDocument(1_000 * index));
    assert.equal((await run(ports, 'apply', 'clerk.json', ...STORE)).exitCode, 0);
  }
  return ports;
};

/** Makes another operator accept a version between the first try, whose reply is lost, and the second. */
const overtake = (ports: TestPorts): void => {
  const { store } = ports;
  let tries = 0;
  store.beforeTxn = () => {
    tries += 1;
    const head = store.entries.get('/bergamot/heads/clerk');
    if (tries === 2 && head !== undefined) {
      const other = { ...JSON.parse(head.value), version: 2, changeId: 'other' };
      store.entries.set(head.key, { ...head, value: JSON.stringify(other), modRevision: '99' });
    }
  };
};

test('a conflict names the author and the changes since the base, so that none is overwritten unnoticed', async () => {
  const ports = await applyVersions(3);
  const { exitCode, text } = await run(ports, 'apply', 'clerk.json', '--expect', '1', ...STORE);
  assert.equal(exitCode, 3);
  assert.match(text, /version 3 is current, the change is based on version 1/);
  assert.match(text, /version 2 accepted by ann/);
  assert.match(text, /~ deadlineMs: 1000 -> 3000/);
  assert.match(text, /--expect 3/);
});

const faultCases: readonly { faults: TxnFault[]; exitCode: number; version: number }[] = [
  { faults: ['reply-lost'], exitCode: 0, version: 1 },
  { faults: ['request-lost'], exitCode: 0, version: 1 },
  { faults: ['reply-lost', 'reply-lost', 'not-reached'], exitCode: 0, version: 1 },
  { faults: ['not-reached', 'not-reached'], exitCode: 0, version: 1 },
  { faults: Array.from({ length: 99 }, () => 'reply-lost'), exitCode: 4, version: 1 },
  { faults: Array.from({ length: 99 }, () => 'request-lost'), exitCode: 4, version: 0 },
  { faults: Array.from({ length: 99 }, () => 'not-reached'), exitCode: 1, version: 0 },
];

faultCases.forEach(({ faults, exitCode, version }) => {
  const name = faults.length > 3 ? `${faults[0]} every time` : faults.join(', ');
  test(`apply ends with ${exitCode} after ${name}, with the version written at most once`, async () => {
    const ports = createTestPorts();
    ports.files.set('clerk.json', sampleDocument());
    ports.store.faults = [...faults];
    assert.equal((await run(ports, 'apply', 'clerk.json', ...STORE)).exitCode, exitCode);
    const versions = [...ports.store.entries.keys()].filter((key) => key.startsWith('/bergamot/services/'));
    assert.equal(versions.length, version);
  });
});

test('a change that was accepted and then replaced by a later version is not reported as a conflict', async () => {
  const ports = createTestPorts();
  ports.files.set('clerk.json', sampleDocument());
  ports.store.faults = ['reply-lost'];
  overtake(ports);
  const { exitCode, text } = await run(ports, 'apply', 'clerk.json', ...STORE);
  assert.equal(exitCode, 0);
  assert.match(text, /version 1 accepted; version 2 was accepted after it and is current/);
});

test('history reports whether a change of unknown outcome was accepted', async () => {
  const ports = await applyVersions(2);
  const accepted = await run(ports, 'history', 'clerk', '--change', 'change-2', ...STORE);
  const overtaken = await run(ports, 'history', 'clerk', '--change', 'change-1', ...STORE);
  const missing = await run(ports, 'history', 'clerk', '--change', 'lost', ...STORE);
  assert.deepEqual([accepted.exitCode, overtaken.exitCode, missing.exitCode], [0, 0, 1]);
  assert.match(accepted.text, /accepted as version 2 and is current/);
  assert.match(overtaken.text, /accepted as version 1; version 2 has replaced it/);
  assert.match(missing.text, /--expect 2/);
});

test('a rollback writes the old content under a higher version, because hosts ignore lower ones', async () => {
  const ports = await applyVersions(3);
  assert.equal((await run(ports, 'rollback', 'clerk', '1', ...STORE)).exitCode, 0);
  const { text } = await run(ports, 'get', 'clerk', '--json', ...STORE);
  const accepted = JSON.parse(text) as { version: number; document: { deadlineMs: number } };
  assert.deepEqual([accepted.version, accepted.document.deadlineMs], [4, 1_000]);
});

test('a store that lost its newest head does not lower the version of the next change', async () => {
  const ports = await applyVersions(3);
  const head = ports.store.entries.get('/bergamot/heads/clerk');
  const first = ports.store.entries.get('/bergamot/services/clerk/0000000001');
  assert.ok(head !== undefined && first !== undefined);
  ports.store.entries.set(head.key, { ...head, value: first.value });
  const { text } = await run(ports, 'apply', 'clerk.json', '--json', ...STORE);
  assert.equal((JSON.parse(text) as { version: number }).version, 4);
});

test('history lists more versions than one page of the store, newest first', async () => {
  const ports = await applyVersions(60);
  const { text } = await run(ports, 'history', 'clerk', '--limit', '55', '--json', ...STORE);
  const { versions } = JSON.parse(text) as { versions: { version: number; changedPaths: string[] }[] };
  assert.equal(versions.length, 55);
  assert.equal(versions[0]?.version, 60);
  assert.deepEqual(versions.at(-1)?.changedPaths, ['deadlineMs']);
});

test('diff compares a file with the store, two versions, and two files without a store', async () => {
  const ports = await applyVersions(2);
  ports.files.set('other.json', sampleDocument(500));
  assert.match((await run(ports, 'diff', 'other.json', ...STORE)).text, /~ deadlineMs: 2000 -> 500/);
  assert.match((await run(ports, 'diff', 'clerk', '1', ...STORE)).text, /version 1 -> version 2\n {2}~ deadlineMs/);
  assert.match((await run(ports, 'diff', 'clerk.json', 'other.json')).text, /~ deadlineMs: 2000 -> 500/);
});
