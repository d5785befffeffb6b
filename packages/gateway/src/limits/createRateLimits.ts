import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import type { RateLimitNotice } from '../ports.js';
import createLimitTable, { type KnownLimit, type LimitTableOptions } from './createLimitTable.js';

/** Rate limits of servers. */
export interface RateLimits {
  /** Limits that this host knows. */
  list(): readonly KnownLimit[];
  /** Records what an answer says about the limit of its server, and when the answered request was sent. */
  noteAnswer(serverId: string, notice: RateLimitNotice, sentAtMs: number): void;
}

/** Options of {@link createRateLimits}. */
export interface RateLimitsOptions extends LimitTableOptions {
  readonly directory: Pick<BackendDirectory, 'find' | 'onProcessEnded'>;
}

/** Source of statements that this host has read in an answer itself. */
const OWN_ANSWER = 'answer';

/**
 * Creates the rate limits of a host.
 *
 * @param options - clock, logger and server directory
 * @returns the limits
 */
export default function createRateLimits(options: RateLimitsOptions): RateLimits {
  const table = createLimitTable(options);
  return {
    list: () => table.list(),
    noteAnswer: (serverId, notice, sentAtMs) => {
      const server = options.directory.find(serverId);
      if (server === undefined || notice.type === 'invalid') {
        return;
      }
      const requestsPerSecond = notice.type === 'stated' ? notice.requestsPerSecond : undefined;
      table.note(server, { requestsPerSecond, startedAtMs: server.startedAtMs, sentAtMs, source: OWN_ANSWER });
    },
  };
}
