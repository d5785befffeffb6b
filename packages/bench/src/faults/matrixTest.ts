import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { test } from 'node:test';
import { builtScript } from '../deployment/paths.js';

/** A group of cells that one test covers, selected by their names. */
export interface MatrixGroup {
  readonly name: string;
  readonly matches: (cellName: string) => boolean;
}

/** Timeout of a run that hangs; a run takes about two minutes, and the whole check of the repository at most eight. */
const TIMEOUT_MS = 360_000;

/** Runs the matrix as a process, because crashed hosts leave timers behind that end only with the process. */
const runMatrixProcess = (args: readonly string[]): Promise<string> =>
  new Promise((resolve, reject) => {
    const script = builtScript('bench', 'faults.main.js');
    execFile(process.execPath, [script, ...args], { timeout: TIMEOUT_MS }, (error, stdout, stderr) => {
      if (/^run \d+, passed/m.test(stdout)) {
        resolve(stdout);
      } else {
        reject(new Error(`the matrix did not finish: ${String(error)} ${stderr}`));
      }
    });
  });

/**
 * Registers one test for each group of cells. All cells run together when the first test starts.
 *
 * @param args - arguments of the fault matrix that select the cells
 * @param groups - names of the tests and their cells
 */
export default function registerMatrixTests(args: readonly string[], groups: readonly MatrixGroup[]): void {
  let output: Promise<string> | undefined;
  groups.forEach(({ name, matches }) => {
    test(name, async () => {
      output ??= runMatrixProcess(args);
      const blocks = (await output).split(/^(?=RED |REPEATED |run \d)/m).filter((block) => block.startsWith('RED '));
      const red = blocks.filter((block) => matches(block.split(' ')[1] ?? ''));
      assert.equal(red.join(''), '');
    });
  });
}
