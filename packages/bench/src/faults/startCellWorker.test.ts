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

/** Starts a worker that does the given after it has become ready. */
const withWorker = async (onRun: string, use: (url: URL) => Promise<void>): Promise<void> => {
  const dir = await mkdtemp(path.join(tmpdir(), 'cell-worker-'));
  const file = path.join(dir, 'worker.mjs');
  await writeFile(file, `process.on('message', () => { ${onRun} }); process.send({ type: 'ready' });`);
  await use(pathToFileURL(file)).finally(() => rm(dir, { recursive: true }));
};

test('a worker that ends by an error tells its code and the error', async () => {
  await withWorker("setImmediate(() => { throw new Error('left over from a run'); });", async (url) => {
    const worker = await startCellWorker(url);
    await assert.rejects(worker.run(run), /ended with code 1[^]*left over from a run/);
  });
});

test('a worker that is killed tells its signal', async () => {
  await withWorker("process.kill(process.pid, 'SIGKILL');", async (url) => {
    const worker = await startCellWorker(url);
    await assert.rejects(worker.run(run), /ended with SIGKILL/);
  });
});
