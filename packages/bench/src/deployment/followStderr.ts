import type { ChildProcess } from 'node:child_process';

/** Number of last characters of standard error that are kept; a stack trace is shorter. */
const TAIL_LENGTH = 4_000;

/**
 * Keeps the last characters of the standard error of a process, and forwards all of it to the standard error of this one.
 *
 * @param child - process with a piped standard error
 * @returns a function that returns the kept text
 */
export default function followStderr(child: ChildProcess): () => string {
  let tail = '';
  child.stderr?.setEncoding('utf8').on('data', (text: string) => {
    tail = `${tail}${text}`.slice(-TAIL_LENGTH);
    process.stderr.write(text);
  });
  return () => tail.trim();
}
