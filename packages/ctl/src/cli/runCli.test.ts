import assert from 'node:assert/strict';
import { test } from 'node:test';
import COMMANDS from '../commands/index.js';
import createTestPorts from '../testing/createTestPorts.js';
import runCli from './runCli.js';

const STORE = ['--store', 'http://10.0.0.5:2379'];

const usageCases: readonly { argv: string[]; expected: RegExp }[] = [
  { argv: [], expected: /a command is missing/ },
  { argv: ['frobnicate'], expected: /no command "frobnicate"/ },
  { argv: ['apply'], expected: /argument FILE is missing/ },
  { argv: ['apply', 'a.json'], expected: /option --store URL is missing/ },
  { argv: ['apply', 'a.json', '--expect', 'x', ...STORE], expected: /--expect: expected a whole number from 0/ },
  { argv: ['apply', 'a.json', '--store', 'nowhere'], expected: /--store: expected a URL.*found "nowhere"/ },
  { argv: ['get', 'clerk', 'extra', ...STORE], expected: /unexpected argument "extra"/ },
  { argv: ['get', 'clerk', '--unknown', ...STORE], expected: /'--unknown'/ },
  { argv: ['get', 'clerk', '--version', '0', ...STORE], expected: /--version: expected a whole number from 1/ },
  { argv: ['rollback', 'clerk', 'one', ...STORE], expected: /argument VERSION: .*found "one"/ },
  { argv: ['status'], expected: /option --host URL is missing/ },
  { argv: ['trace', 'abc', '--host', 'http://10.0.0.7:7000'], expected: /argument ID: expected 32/ },
  { argv: ['poison', '--host', 'ftp://10.0.0.7:7000'], expected: /--host: expected a URL/ },
  { argv: ['get', 'clerk', '--store', 'link://10.0.0.7:7000'], expected: /--store: expected a URL/ },
];

usageCases.forEach(({ argv, expected }) => {
  test(`wrong arguments end with code 2 and are named: ${argv.join(' ')}`, async () => {
    const ports = createTestPorts();
    assert.equal(await runCli(COMMANDS, argv, ports), 2);
    assert.match(ports.err.join('\n'), expected);
  });
});

test('every command has its own help', async () => {
  for (const command of COMMANDS) {
    const ports = createTestPorts();
    assert.equal(await runCli(COMMANDS, [command.name, '--help'], ports), 0);
    assert.match(ports.out.join('\n'), new RegExp(`usage: bergamotctl ${command.name}[\\s\\S]*example:`));
  }
});

test('a failure is JSON under --json, so that scripts need not parse messages', async () => {
  const ports = createTestPorts();
  ports.files.set('bad.json', { service: 5 });
  assert.equal(await runCli(COMMANDS, ['validate', 'bad.json', '--json'], ports), 1);
  const { error } = JSON.parse(ports.out.join('')) as { error: { code: string; problems: { path: string }[] } };
  assert.equal(error.code, 'invalid');
  assert.equal(error.problems[0]?.path, 'service');
});

test('a slow store is reported on standard error after a second', async () => {
  const ports = createTestPorts();
  const { store } = ports;
  store.get = () =>
    new Promise((resolve) => {
      ports.clock.schedule(500, () => ports.clock.schedule(1_000, () => resolve(undefined)));
    });
  await runCli(COMMANDS, ['get', 'clerk', ...STORE], ports);
  assert.match(ports.err[0] ?? '', /reading clerk \(1 s\)/);
});
