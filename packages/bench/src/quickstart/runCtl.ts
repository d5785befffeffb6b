import { execFile } from 'node:child_process';
import { builtScript } from '../deployment/paths.js';

/** Result of a `bergamotctl` run. */
export interface CtlResult {
  readonly exitCode: number;
  readonly output: string;
}

/**
 * Runs `bergamotctl` and waits until it exits.
 *
 * @param args - command-line arguments
 * @returns exit code, and standard output followed by standard error
 */
export default function runCtl(args: readonly string[]): Promise<CtlResult> {
  return new Promise((resolve) => {
    execFile(process.execPath, [builtScript('ctl', 'main.js'), ...args], (error, stdout, stderr) => {
      const exitCode = error === null ? 0 : Number(error.code ?? 1);
      resolve({ exitCode, output: (stdout + stderr).trim() });
    });
  });
}
