import { readFileSync } from 'node:fs';

const NS_PER_MS = 1_000_000;

/**
 * Reads the run delay of the event loop of this process: the time in which it was ready to run and had no processor.
 *
 * @returns the run delay in milliseconds since the process started; 0 on systems that do not report it
 */
export default function readRunDelay(): number {
  try {
    const [, waitNs] = readFileSync('/proc/self/schedstat', 'utf8').split(' ');
    return Number(waitNs) / NS_PER_MS;
  } catch {
    return 0;
  }
}
