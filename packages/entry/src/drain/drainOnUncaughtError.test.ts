import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

const MODULES = {
  clock: '@bergamotcove/clock',
  subject: new URL('./drainOnUncaughtError.js', import.meta.url).href,
};

/** Runs a process that throws twice, and returns its exit code and what it wrote to standard output. */
const runFailing = async (
  stop: string,
  limitMs: number,
): Promise<{ readonly code: unknown; readonly output: string }> => {
  const script = `
    import { createSystemClock } from '${MODULES.clock}';
    import drainOnUncaughtError from '${MODULES.subject}';
    const logger = { event: (name, { origin, error }) => console.log(name, origin, error) };
    const stop = (origin) => { console.log('stop', origin); ${stop} };
    drainOnUncaughtError({ clock: createSystemClock(), logger, stop, limitMs: () => ${limitMs}, exit: () => process.exit() });
    setInterval(() => undefined, 1_000);
    setTimeout(() => { throw new Error('first'); }, 10);
    setTimeout(() => Promise.reject(new Error('second')), 50);
  `;
  const child = spawn(process.execPath, ['--input-type=module', '--eval', script], {
    cwd: fileURLToPath(new URL('.', import.meta.url)),
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  let output = '';
  child.stdout.on('data', (chunk) => {
    output += String(chunk);
  });
  const [code] = (await once(child, 'close')) as unknown[];
  return { code, output };
};

const FIRST = 'processFailed uncaughtException first\nstop uncaughtException\n';
const SECOND = 'processFailed unhandledRejection second\n';

test('a process that fails stops once, reports each error and ends with the code of a failure', async () => {
  const seen = await runFailing('setTimeout(() => process.exit(), 200);', 5_000);
  assert.deepEqual(seen, { code: 1, output: FIRST + SECOND });
});

test('a process whose stop does not end exits at the time limit', async () => {
  assert.deepEqual(await runFailing('', 300), { code: 1, output: FIRST + SECOND });
});

test('a process whose stop fails ends at once', async () => {
  assert.deepEqual(await runFailing("throw new Error('a fault of the stop');", 5_000), { code: 7, output: FIRST });
});
