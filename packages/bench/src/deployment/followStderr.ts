import type { ChildProcess } from 'node:child_process';

/** Length of the end of the error output that is kept, in characters; a stack trace is shorter. */
const TAIL_LENGTH = 4_000;

/**
 * Keeps the end of what a process writes to its error output, and passes everything on.
 *
 * @param child - process with a piped error output
 * @returns a function that reads the end
 */
export default function followStderr(child: ChildProcess): () => string {
  let tail = '';
  child.stderr?.setEncoding('utf8').on('data', (text: string) => {
    tail = `${tail}${text}`.slice(-TAIL_LENGTH);
    process.stderr.write(text);
  });
  return () => tail.trim();
}
