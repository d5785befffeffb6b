import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import followStderr from './followStderr.js';

/** A child process of the benchmark. */
export interface BenchProcess {
  readonly name: string;
  readonly pid: number;
  /** JSON line that the process printed when it was ready. */
  readonly ready: Readonly<Record<string, unknown>>;
  /** Sends a signal to this process only. */
  signal(name: NodeJS.Signals): void;
  /** Resolves with the exit code, or null when a signal ended the process. */
  readonly exited: Promise<number | null>;
}

const READY_TIMEOUT_MS = 15_000;
const running = new Set<ChildProcess>();

// A benchmark that exits during a run must not leave child processes behind, in particular paused ones.
process.on('exit', () => running.forEach((child) => child.kill('SIGKILL')));

/**
 * Starts a Node process and waits for its ready line.
 *
 * @param name - name of the process in error messages
 * @param args - script and arguments
 * @returns the process
 * @throws Error when the process exits, with the end of its standard error, or is not ready within the timeout
 */
export default function startProcess(name: string, args: readonly string[]): Promise<BenchProcess> {
  const child = spawn(process.execPath, [...args], { stdio: ['ignore', 'pipe', 'pipe'] });
  running.add(child);
  const readStderr = followStderr(child);
  const exited = new Promise<number | null>((resolve) => {
    child.on('exit', (code) => {
      running.delete(child);
      resolve(code);
    });
  });
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      child.kill('SIGKILL');
      reject(new Error(`${name} was not ready after ${READY_TIMEOUT_MS} ms`));
    }, READY_TIMEOUT_MS);
    createInterface({ input: child.stdout }).on('line', (line) => {
      // Log lines are written to the same stream.
      const ready = JSON.parse(line) as Record<string, unknown>;
      if (ready.ready !== true) {
        return;
      }
      clearTimeout(timer);
      resolve({ name, pid: child.pid ?? 0, ready, exited, signal: (signal) => child.kill(signal) });
    });
    // 'close' follows 'exit' once standard error has been read to its end.
    child.on('close', (code) => {
      clearTimeout(timer);
      reject(new Error(`${name} ended with code ${code} before it was ready\n${readStderr()}`.trim()));
    });
  });
}
