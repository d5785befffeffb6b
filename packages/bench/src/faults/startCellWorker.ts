import { once } from 'node:events';
import { fork, type ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import followStderr from '../deployment/followStderr.js';
import type { MatrixRun, WorkerMessage } from './workerMessages.js';

/** Result of one cell, as a worker reports it. */
export type ResultMessage = Extract<WorkerMessage, { type: 'result' }>;

/** A worker process that runs one cell at a time. */
export interface CellWorker {
  /** Number of cells sent to this worker. */
  runs(): number;
  run(run: MatrixRun): Promise<ResultMessage>;
  close(): void;
}

/** Timeout of a cell; one that takes longer has lost a request or a process. */
const CELL_TIMEOUT_MS = 30_000;
const READY_TIMEOUT_MS = 60_000;

/** Waits for the next message; rejects when the process ends or after the timeout. */
const waitForMessage = async (
  child: ChildProcess,
  timeoutMs: number,
  readStderr: () => string,
): Promise<WorkerMessage> => {
  const abort = new AbortController();
  // 'close' follows 'exit' once the error output has been read to its end.
  const onExit = (code: number | null, signal: string | null): void =>
    abort.abort(new Error(`the worker process ended with ${signal ?? `code ${code}`}\n${readStderr()}`.trim()));
  const timer = setTimeout(() => abort.abort(new Error(`no message in ${timeoutMs} ms`)), timeoutMs);
  child.once('close', onExit);
  try {
    const [message] = (await once(child, 'message', { signal: abort.signal })) as [WorkerMessage];
    return message;
  } catch (cause) {
    throw abort.signal.aborted ? abort.signal.reason : cause;
  } finally {
    clearTimeout(timer);
    child.off('close', onExit);
  }
};

const CELL_WORKER_URL = new URL('./cellWorker.js', import.meta.url);

/** Time after which a worker that did not end by itself is killed. */
const CLOSE_TIMEOUT_MS = 2_000;

/**
 * Starts a worker process. It inherits the Node arguments of this process, including the hooks of the mutation
 * check.
 *
 * @param script - URL of the worker script
 * @returns the worker once it is ready and has run its warm-up cell
 * @throws Error when the process does not start
 */
export default async function startCellWorker(script = CELL_WORKER_URL): Promise<CellWorker> {
  const child = fork(fileURLToPath(script), { stdio: ['ignore', 'inherit', 'pipe', 'ipc'] });
  const readStderr = followStderr(child);
  await waitForMessage(child, READY_TIMEOUT_MS, readStderr);
  let runs = 0;
  return {
    runs: () => runs,
    run: async (run) => {
      runs += 1;
      if (!child.connected) {
        throw new Error('the worker process has ended');
      }
      child.send(run);
      const message = await waitForMessage(child, CELL_TIMEOUT_MS, readStderr);
      if (message.type !== 'result') {
        throw new Error(`the worker answered with ${message.type}`);
      }
      return message;
    },
    close: () => {
      // The worker ends itself and the hosts that it started; one that hangs is killed.
      if (child.connected) {
        child.disconnect();
      }
      const timer = setTimeout(() => child.kill('SIGKILL'), CLOSE_TIMEOUT_MS);
      child.once('exit', () => clearTimeout(timer));
    },
  };
}
