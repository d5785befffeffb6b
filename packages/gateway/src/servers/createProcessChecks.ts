import type { Socket } from 'node:net';
import type { Clock } from '@bergamotcove/clock';
import type { ServerView } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';
import { isFlooding, readBody, scheduleAfterReading, type HttpClient } from '@bergamotcove/transport';
import type { BackendDirectory, KnownServer } from '../catalogue/BackendDirectory.js';
import type { RequestFormat } from '../ports.js';
import isConnectionRefused from './isConnectionRefused.js';

/** What is known of the process at a server's address. */
export type ProcessCheck =
  /** Connections to the listed process are open; others may lead to the next one. */
  | 'connected'
  /** The process at the address has just stated that it is the listed one. */
  | 'stated'
  /** Servers of its kind do not state their start. */
  | 'unstated'
  /** It has started again since its entry was written. */
  | 'replaced'
  /** Nothing listens at the address. */
  | 'refused'
  | 'silent'
  | 'flooding';

/** Checks that a server has not started again since its entry was written. */
export interface ProcessChecks {
  /** Whether the next request goes over a connection to the listed process. A restart ends all connections. */
  isConnected(server: ServerView): boolean;
  /** Checks the process that a new connection, or an idle one, leads to. */
  check(server: ServerView): Promise<ProcessCheck>;
  /** Whether a connection may be used after a check; if so, it needs no other one. */
  accept(check: ProcessCheck, server: ServerView, socket: Socket): boolean;
}

/** Options of {@link createProcessChecks}. */
export interface ProcessCheckOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ScrapedMetrics;
  readonly directory: Pick<BackendDirectory, 'find'>;
  readonly format: Pick<RequestFormat, 'statePath' | 'readStart'>;
  readonly clientOf: (pool: string) => HttpClient;
}

const CONNECT_LIMIT_MS = 300;
const ANSWER_LIMIT_MS = 500;
/** A server that did not answer delays the streams of this time once only. */
const SILENT_PAUSE_MS = 2_000;
const MAX_STATE_BYTES = 65_536;
/** Statuses of a server that may state its start at another time. */
const TEMPORARY_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 500, 502, 503, 504]);

const readFailure = (cause: unknown): ProcessCheck => {
  if (isConnectionRefused(cause)) {
    return 'refused';
  }
  return isFlooding(cause) ? 'flooding' : 'silent';
};

class Checks implements ProcessChecks {
  /** Start of the process that each connection leads to. */
  private readonly starts = new WeakMap<Socket, number>();

  /** Entries whose check would end the same way again: the server states no start, or another one than the entry. */
  private readonly decided = new WeakMap<KnownServer, 'unstated' | 'replaced'>();

  /** Monotonic time until which a server that did not answer is not asked again. */
  private readonly silentUntilMs = new WeakMap<KnownServer, number>();

  constructor(private readonly options: ProcessCheckOptions) {}

  isConnected(server: ServerView): boolean {
    const { directory, clientOf } = this.options;
    const idle = clientOf(server.pool).findIdle(server);
    return idle !== undefined && this.starts.get(idle) === directory.find(server.serverId)?.startedAtMs;
  }

  async check(server: ServerView): Promise<ProcessCheck> {
    const { clock, directory, metrics } = this.options;
    const listed = directory.find(server.serverId);
    if (listed === undefined || listed.startedAtMs === 0) {
      return 'unstated';
    }
    const decided = this.decided.get(listed);
    if (decided !== undefined) {
      return decided;
    }
    if (clock.monotonicMs() < (this.silentUntilMs.get(listed) ?? 0)) {
      return 'silent';
    }
    const result = await this.ask(listed).catch(readFailure);
    if (result === 'unstated' || result === 'replaced') {
      this.decided.set(listed, result);
    } else if (result === 'silent') {
      this.silentUntilMs.set(listed, clock.monotonicMs() + SILENT_PAUSE_MS);
    }
    metrics.report('streams.process_checks', 1, { result });
    return result;
  }

  accept(check: ProcessCheck, { serverId }: ServerView, socket: Socket): boolean {
    const startedAtMs = this.options.directory.find(serverId)?.startedAtMs;
    if (check === 'stated' && startedAtMs !== undefined) {
      this.starts.set(socket, startedAtMs);
    }
    return check !== 'connected' || this.starts.get(socket) === startedAtMs;
  }

  /** Asks the process for its start, over the connection that is used next if no other request comes between. */
  private async ask(listed: KnownServer): Promise<ProcessCheck> {
    const abort = new AbortController();
    const timer = scheduleAfterReading(this.options.clock, ANSWER_LIMIT_MS, () => abort.abort());
    try {
      return await this.readState(listed, abort.signal);
    } finally {
      timer.close();
    }
  }

  private async readState(listed: KnownServer, signal: AbortSignal): Promise<ProcessCheck> {
    const { format, clientOf, logger } = this.options;
    const { serverId, pool, startedAtMs: listedStartMs } = listed;
    const response = await clientOf(pool).open(listed, {
      method: 'GET',
      path: format.statePath,
      connectLimitMs: CONNECT_LIMIT_MS,
      signal,
    });
    const { socket } = response;
    const startMs = format.readStart(await readBody(response, { maxBytes: MAX_STATE_BYTES }));
    if (startMs === undefined && TEMPORARY_STATUSES.has(response.statusCode ?? 0)) {
      return 'silent';
    }
    if (startMs === undefined) {
      return 'unstated';
    }
    if (startMs !== listedStartMs) {
      logger.event('serverRestartUnlisted', { serverId, pool, listedStartMs, startMs });
      return 'replaced';
    }
    this.starts.set(socket, startMs);
    return 'stated';
  }
}

/**
 * Creates the checks of the processes that streams are sent to.
 *
 * @param options - servers as they are listed, and the connections to them
 * @returns the checks
 */
export default function createProcessChecks(options: ProcessCheckOptions): ProcessChecks {
  return new Checks(options);
}
