import type { Logger } from '@bergamotcove/log';
import type { Clock } from '@bergamotcove/clock';
import type { HttpClient } from '@bergamotcove/transport';
import type { BackendDirectory, KnownServer } from '../catalogue/BackendDirectory.js';
import type { RateLimits } from '../limits/createRateLimits.js';
import type { StageFormat } from '../ports.js';

/** Releases stage results at their servers. */
export interface ResultReleaser {
  /** Finds the server that holds a result; undefined when it is gone. */
  findServer(result: string): KnownServer | undefined;
  /** Releases results at a server. Never rejects: results that are not released are freed when they expire. */
  release(serverId: string, results: readonly string[]): Promise<void>;
}

/** Options of {@link createResultReleaser}. */
export interface ResultReleaserOptions {
  readonly clock: Clock;
  readonly http: HttpClient;
  readonly logger: Logger;
  readonly format: StageFormat;
  readonly directory: BackendDirectory;
  readonly limits: Pick<RateLimits, 'noteAnswer'>;
}

const STATUS_MISDIRECTED = 421;
const CONNECT_TIMEOUT_MS = 300;
/** A release that takes longer is useless, because the memory was needed at once. */
const RELEASE_TIMEOUT_MS = 1_000;

/**
 * Creates the releaser of stage results.
 *
 * @param options - HTTP client, server directory and call format
 * @returns the releaser
 */
export default function createResultReleaser(options: ResultReleaserOptions): ResultReleaser {
  const { clock, http, logger, format, directory, limits } = options;

  /** Resolves when the back-off that the server asked for has ended. */
  const awaitBackOffEnd = (serverId: string): Promise<void> => {
    const backOffMs = directory.readBackoffEndMs(serverId) - clock.monotonicMs();
    return backOffMs <= 0
      ? Promise.resolve()
      : new Promise((resolve) => {
          clock.schedule(backOffMs, resolve);
        });
  };

  return {
    findServer: (result) => directory.findAt(format.readHolderAddress(result)),
    release: async (serverId, results) => {
      await awaitBackOffEnd(serverId);
      const server = directory.find(serverId);
      if (server === undefined || results.length === 0) {
        return;
      }
      const sentAtMs = clock.monotonicMs();
      await http
        .send(server, {
          method: 'POST',
          path: format.releasePath,
          headers: format.formatHeaders(serverId),
          body: format.formatRelease(results),
          connectLimitMs: CONNECT_TIMEOUT_MS,
          signal: AbortSignal.timeout(RELEASE_TIMEOUT_MS),
        })
        .then(({ status, headers }) => {
          if (status !== STATUS_MISDIRECTED) {
            const notice = format.readNotice(status, headers);
            directory.applyNotice(serverId, notice);
            limits.noteAnswer(serverId, notice.rateLimit, sentAtMs);
          }
        })
        .catch((error: Error) => {
          logger.event('releaseFailed', { serverId, results: results.length, error: error.message });
        });
    },
  };
}
