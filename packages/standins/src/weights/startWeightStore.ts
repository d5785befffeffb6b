import type { Clock } from '@bergamotcove/clock';
import serveJson, { StatusReply } from '../_lib/serveJson.js';
import wait from '../_lib/wait.js';
import type { ListenOptions, Standin } from '../types.js';

/** Options of {@link startWeightStore}. */
export interface WeightStoreOptions {
  readonly clock: Clock;
  /** Transfer rate of a single download. */
  readonly bytesPerSecond: number;
  /** Maximum number of concurrent downloads; further ones are refused with status 429 and `retryAfterMs`. */
  readonly maxDownloads: number;
  /** Size of the weights of each model, version or adapter. */
  readonly sizeBytes: number;
}

const MS_PER_SECOND = 1_000;
const STATUS_TOO_MANY = 429;

/**
 * Starts a stand-in of the rate-limited weight store. `GET /v1/weights?name=` sends no weights, but responds when the
 * download would be complete. `GET /control/counters` returns the number of completed and refused downloads.
 *
 * @param listen - address and port
 * @param options - clock, transfer rate, concurrency limit and size of the weights
 * @returns the running stand-in
 */
export default async function startWeightStore(listen: ListenOptions, options: WeightStoreOptions): Promise<Standin> {
  const durationMs = (options.sizeBytes / options.bytesPerSecond) * MS_PER_SECOND;
  const counters = { downloads: 0, refused: 0 };
  let active = 0;
  const download = async (name: string): Promise<unknown> => {
    if (active >= options.maxDownloads) {
      counters.refused += 1;
      return new StatusReply(STATUS_TOO_MANY, { retryAfterMs: Math.ceil(durationMs / 2) });
    }
    active += 1;
    await wait(options.clock, durationMs);
    active -= 1;
    counters.downloads += 1;
    return { name, sizeBytes: options.sizeBytes };
  };
  const server = await serveJson(
    {
      'GET /v1/weights': (_, { query }) => download(query.get('name') ?? ''),
      'GET /control/counters': () => counters,
    },
    listen,
  );
  return { port: server.port, close: server.close };
}
