import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { pathToFileURL } from 'node:url';
import startCellWorker from './startCellWorker.js';
import type { MatrixRun } from './workerMessages.js';

const run: MatrixRun = {
  cell: { name: 'any', operation: 'explain', injections: [], allowed: ['answered'] },
  options: { seed: 1 },
};

/** Passes `use` the URL of a worker script that reports ready and runs `scriptOnRun` on each message. */
const withWorker = async (scriptOnRun: string, use: (url: URL) => Promise<void>): Promise<void> => {
  const directory = await mkdtemp(path.join(tmpdir(), 'cell-worker-'));
  const file = path.join(directory, 'worker.mjs');
  await writeFile(file, `process.on('message', () => { ${scriptOnRun} }); process.send({ type: 'ready' });`);
  await use(pathToFileURL(file)).finally(() => rm(directory, { recursive: true }));
};

test('rejects a run with the exit code and the error output when the worker throws', async () => {
  await withWorker("setImmediate(() => { throw new Error('left over from a run'); });", async (url) => {
    const worker = await startCellWorker(url);
    await assert.rejects(worker.run(run), /ended with code 1[^]*left over from a run/);
  });
});

test('rejects a run with the signal when the worker is killed', async () => {
  await withWorker("process.kill(process.pid, 'SIGKILL');", async (url) => {
    const worker = await startCellWorker(url);
    await assert.rejects(worker.run(run), /ended with SIGKILL/);
  });
});
