import assert from 'node:assert/strict';
import { test } from 'node:test';
import runCli from '../cli/runCli.js';
import createTestPorts from '../testing/createTestPorts.js';
import COMMANDS from './index.js';

const LOG = JSON.stringify({
  level: 'info',
  time: 7_000,
  event: 2201,
  name: 'requestEnded',
  hostId: 'a1',
  requestId: 'r1',
  status: 503,
  reason: 'no-server',
  serverIds: ['s1'],
  totalMs: 12.345,
});

const run = async (...argv: string[]) => {
  const ports = createTestPorts();
  ports.files.set('a1.log', LOG);
  const exitCode = await runCli(COMMANDS, argv, ports);
  return { exitCode, text: [...ports.out, ...ports.err].join('\n') };
};

test('explain prints the cause and the lines of a request', async () => {
  const { exitCode, text } = await run('explain', 'r1', 'a1.log');
  assert.equal(exitCode, 0);
  assert.match(text, /^request r1: status 503: no live server/);
  assert.match(text, /0 ms +a1 +requestEnded +.*serverIds=\[s1\] totalMs=12\.35/);
});

test('explain fails for a request that is not in the logs, and names a missing FILE argument', async () => {
  const { exitCode, text } = await run('explain', 'r9', 'a1.log');
  assert.equal(exitCode, 1);
  assert.match(text, /r9: no line in 1 files/);
  assert.match((await run('explain', 'r9')).text, /FILE/);
});
