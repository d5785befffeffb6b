import type { Logger } from '@bergamotcove/log';
import type { HttpClient } from '@bergamotcove/transport';
import type { BackendDirectory, KnownServer } from '../catalogue/createBackendDirectory.js';
import type { StageFormat } from '../ports.js';

/** Frees the room that stage results take up at their servers. */
export interface ResultReleaser {
  /** Server that made a result, if it still exists. */
  findMaker(result: string): KnownServer | undefined;
  /** Never rejects: without the release the room is free again when the results expire. */
  send(serverId: string, results: readonly string[]): Promise<void>;
}

/** Options of {@link createResultReleaser}. */
export interface ResultReleaserOptions {
  readonly http: HttpClient;
  readonly logger: Logger;
  readonly format: StageFormat;
  readonly directory: BackendDirectory;
}

const CONNECT_LIMIT_MS = 300;
/** A release that takes longer is of no use: the room was needed at once. */
const RELEASE_LIMIT_MS = 1_000;

/**
 * Creates the releaser of stage results.
 *
 * @param options - servers and their format
 * @returns the releaser
 */
export default function createResultReleaser(options: ResultReleaserOptions): ResultReleaser {
  const { http, logger, format, directory } = options;
  return {
    findMaker: (result) => directory.findAt(format.readMaker(result)),
    send: async (serverId, results) => {
      const server = directory.find(serverId);
      if (server === undefined || results.length === 0) {
        return;
      }
      await http
        .send(server, {
          method: 'POST',
          path: format.releasePath,
          headers: format.formatHeaders(serverId),
          body: format.formatRelease(results),
          connectLimitMs: CONNECT_LIMIT_MS,
          signal: AbortSignal.timeout(RELEASE_LIMIT_MS),
        })
        .catch((error: Error) => {
          logger.event('releaseFailed', { serverId, results: results.length, error: error.message });
        });
    },
  };
}
