import type { Timer } from '@bergamotcove/clock';
import type { CtlPorts } from '../types.js';

const INTERVAL_MS = 1_000;

/**
 * Reports on standard error, once a second, that an operation is still running.
 *
 * @param ports - clock and standard error
 * @param label - what the operation does
 * @param work - the operation
 * @returns the result of the operation
 * @example
 * const head = await withProgress(ports, 'reading from the store', readHead(store, 'clerk'));
 */
export default async function withProgress<Result>(
  ports: Pick<CtlPorts, 'clock' | 'writeErr'>,
  label: string,
  work: Promise<Result>,
): Promise<Result> {
  let timer: Timer | undefined;
  const report = (elapsedMs: number): void => {
    timer = ports.clock.schedule(INTERVAL_MS, () => {
      const totalMs = elapsedMs + INTERVAL_MS;
      ports.writeErr(`bergamotctl: ${label} (${totalMs / INTERVAL_MS} s)`);
      report(totalMs);
    });
  };
  report(0);
  try {
    return await work;
  } finally {
    timer?.close();
  }
}
