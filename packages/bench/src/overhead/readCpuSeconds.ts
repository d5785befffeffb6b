import { readFileSync } from 'node:fs';

/** Clock ticks a second in `/proc`, fixed by the kernel's user interface. */
const TICKS_PER_SECOND = 100;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/**
 * Reads the CPU time of a process from `/proc`.
 *
 * @param pid - process id
 * @returns user and system time of all threads
 */
export default function readCpuSeconds(pid: number): number {
  // The command name in parentheses may contain spaces; the fixed fields follow it.
  const fields = (readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ').at(-1) ?? '').split(' ');
  return (Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD])) / TICKS_PER_SECOND;
}
