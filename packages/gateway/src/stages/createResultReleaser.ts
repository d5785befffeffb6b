import type { Logger } from '@bergamotcove/log';
import type { BatchSpec } from '@bergamotcove/config';
import type { Clock } from '@bergamotcove/clock';
import type { HttpClient } from '@bergamotcove/transport';
import type { BackendDirectory, KnownServer } from '../catalogue/BackendDirectory.js';
import type { RateLimits } from '../limits/createRateLimits.js';
import type { StageFormat } from '../ports.js';

/** Releases stage results at their servers. */
export interface ResultReleaser {
  /** Finds the server that holds a result; undefined when it is gone. */
  findServer(result: string): KnownServer | undefined;
  /**
   * Releases results at a server. Never rejects: results that are not released are freed when they expire. A server with
   * a rate limit gets few releases, each with all results that wait for it, unless a call needs their memory.
   */
  release(serverId: string, results: readonly string[], options?: { readonly isUrgent: boolean }): Promise<void>;
}

/** Options of {@link createResultReleaser}. */
export interface ResultReleaserOptions {
  readonly clock: Clock;
  readonly http: HttpClient;
  readonly logger: Logger;
  readonly format: StageFormat;
  readonly directory: BackendDirectory;
  readonly limits: Pick<RateLimits, 'isLimited' | 'maySend' | 'noteAnswer' | 'readIntervalMs' | 'take'>;
  readonly pool: string;
  readonly spec: Pick<BatchSpec, 'keepResultMs'>;
}

const STATUS_MISDIRECTED = 421;
const CONNECT_TIMEOUT_MS = 300;
/** A release that takes longer is useless, because the memory was needed at once. */
const RELEASE_TIMEOUT_MS = 1_000;
/** Least time between two releases at a server with a rate limit, in sends, so that most of these are calls. */
const SENDS_PER_RELEASE = 3;

class Releaser implements ResultReleaser {
  /** Results that wait for a release, by server. */
  private readonly waiting = new Map<string, string[]>();

  private readonly releasedAtMs = new Map<string, number>();

  /** Monotonic time before the latest permission for a server was asked for. */
  private readonly permittedAtMs = new Map<string, number>();

  constructor(private readonly options: ResultReleaserOptions) {}

  findServer(result: string): KnownServer | undefined {
    const { directory, format } = this.options;
    return directory.findAt(format.readHolderAddress(result));
  }

  async release(serverId: string, results: readonly string[], { isUrgent } = { isUrgent: false }): Promise<void> {
    const { clock, directory, limits } = this.options;
    if (!limits.isLimited(serverId)) {
      await this.waitUntil(directory.readBackoffEndMs(serverId));
    }
    // A server may have started again during the wait.
    if (!limits.isLimited(serverId)) {
      await this.send(serverId, results);
      return;
    }
    const waiting = this.waiting.get(serverId);
    if (waiting !== undefined && !isUrgent) {
      waiting.push(...results);
      return;
    }
    const released = [...(waiting ?? []), ...results];
    this.waiting.set(serverId, released);
    const expiresAtMs = clock.monotonicMs() + this.options.spec.keepResultMs;
    if (await this.awaitTurn(serverId, { isUrgent, expiresAtMs })) {
      await this.send(serverId, released);
    }
    if (this.waiting.get(serverId) === released) {
      this.waiting.delete(serverId);
    }
  }

  /** Waits until a server with a rate limit may get a release; false when the results expire before. */
  private async awaitTurn(
    serverId: string,
    { isUrgent, expiresAtMs }: { readonly isUrgent: boolean; readonly expiresAtMs: number },
  ): Promise<boolean> {
    const { clock, limits, pool } = this.options;
    const pauseMs = isUrgent ? 0 : SENDS_PER_RELEASE * (limits.readIntervalMs(serverId) ?? 0);
    let atMs = Math.max((this.releasedAtMs.get(serverId) ?? -Infinity) + pauseMs, clock.monotonicMs());
    while (atMs < expiresAtMs) {
      // Each decision depends on the one before.
      /* eslint-disable no-await-in-loop */
      await this.waitUntil(atMs);
      this.permittedAtMs.set(serverId, clock.monotonicMs());
      const decision = await limits.take({ queue: pool, key: `release ${serverId}`, serverIds: [serverId] });
      /* eslint-enable no-await-in-loop */
      if (decision.type === 'granted') {
        this.releasedAtMs.set(serverId, clock.monotonicMs());
        return true;
      }
      ({ atMs } = decision);
    }
    return false;
  }

  private waitUntil(atMs: number): Promise<void> {
    const { clock } = this.options;
    const waitMs = atMs - clock.monotonicMs();
    return waitMs <= 0
      ? Promise.resolve()
      : new Promise((resolve) => {
          clock.schedule(waitMs, resolve);
        });
  }

  private async send(serverId: string, results: readonly string[]): Promise<void> {
    const { clock, http, logger, format, directory, limits } = this.options;
    const server = directory.find(serverId);
    if (server === undefined || results.length === 0) {
      return;
    }
    const sentAtMs = clock.monotonicMs();
    try {
      const { status, headers } = await http.send(server, {
        method: 'POST',
        path: format.releasePath,
        headers: format.formatHeaders(serverId),
        body: format.formatRelease(results),
        connectLimitMs: CONNECT_TIMEOUT_MS,
        signal: AbortSignal.timeout(RELEASE_TIMEOUT_MS),
        maySend: () => limits.maySend(serverId, this.permittedAtMs.get(serverId)),
      });
      if (status !== STATUS_MISDIRECTED) {
        const notice = format.readNotice(status, headers);
        directory.applyNotice(serverId, notice);
        limits.noteAnswer(serverId, notice.rateLimit, sentAtMs);
      }
    } catch (cause) {
      logger.event('releaseFailed', { serverId, results: results.length, error: (cause as Error).message });
    }
  }
}

/**
 * Creates the releaser of stage results.
 *
 * @param options - HTTP client, server directory, rate limits and call format
 * @returns the releaser
 */
export default function createResultReleaser(options: ResultReleaserOptions): ResultReleaser {
  return new Releaser(options);
}
