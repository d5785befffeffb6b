import { inspect } from 'node:util';
import type { Clock } from '@bergamotcove/clock';
import type { Logger } from '@bergamotcove/log';
import reportFailure from './reportFailure.js';

/** Exit code of a process that has failed. */
export const EXIT_FAILED = 1;

/** Options of {@link drainOnUncaughtError}. */
export interface UncaughtErrorOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Finishes the open requests, then ends the process; called once. */
  readonly stop: (origin: NodeJS.UncaughtExceptionOrigin) => void;
  /** Time limit for `stop`. */
  readonly limitMs: () => number;
  /** Ends the process with its exit code; called when the time limit has passed. */
  readonly exit: () => void;
}

/**
 * Stops the process as a planned stop does after an uncaught error, with exit code 1. The error concerns one request as
 * a rule, so the others are finished; but the state that it leaves behind is unknown, so the process does not go on.
 *
 * @param options - logger, stop and its time limit
 */
export default function drainOnUncaughtError({ clock, logger, stop, limitMs, exit }: UncaughtErrorOptions): void {
  let isStopping = false;
  process.on('uncaughtException', (cause, origin) => {
    reportFailure(logger, cause, origin);
    if (isStopping) {
      return;
    }
    isStopping = true;
    process.exitCode = EXIT_FAILED;
    process.stderr.write(`${inspect(cause)}\n`);
    clock.schedule(limitMs(), exit);
    stop(origin);
  });
}
