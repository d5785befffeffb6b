import net from 'node:net';
import type { Clock } from '@bergamotcove/clock';
import { advancePoison, readBlock, RunningAttempts, type PoisonState } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';
import type { LinkClient, LinkMethod, Target } from '@bergamotcove/transport';
import type { KnownServer } from '../catalogue/createBackendDirectory.js';
import type { HostRegistry } from '../hosts/createHostRegistry.js';

/** What a new connection to a server tells: one that is out of reach has not crashed for sure. */
type ConnectionCheck = 'refused' | 'accepted' | 'no-answer' | 'failed';

/** Why the loss of a server is no crash. */
export type UnprovedLoss = 'entry-gone' | 'broken' | 'silent' | Exclude<ConnectionCheck, 'refused'>;

/** Stops requests that crash the servers which run them, on all hosts. */
export interface CrashGuard {
  /** Whether the request crashed servers of late, by its fingerprint. */
  isBlocked(fingerprint: string): boolean;
  /** The request is sent to a server; call the returned function when the attempt has ended. */
  watch(serverId: string, fingerprint: string): () => void;
  /** A connection was lost before an answer; resolves when it is known whether the server crashed. */
  noteLost(server: KnownServer): Promise<void>;
  /** An attempt lost its server in a way that is not counted as a crash. */
  noteUnproved(serverId: string, reason: UnprovedLoss): void;
  readonly methods: Readonly<Record<string, LinkMethod>>;
  /** Hosts that are told of crashes. */
  start(hosts: HostRegistry): void;
}

/** Options of {@link createCrashGuard}. */
export interface CrashGuardOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ScrapedMetrics;
  readonly links: LinkClient;
}

/** A crash as hosts tell it to each other. */
interface CrashReport {
  readonly serverId: string;
  readonly startId: string;
  readonly fingerprints: readonly string[];
}

const REPORT_CRASH = 'requests.crash';
/** A server that takes no connection within this time is down or out of reach. */
const CHECK_LIMIT_MS = 150;

const checkConnection = ({ address, port }: Target): Promise<ConnectionCheck> =>
  new Promise((resolve) => {
    const socket = net.connect({ host: address, port });
    const settle = (check: ConnectionCheck): void => {
      socket.destroy();
      resolve(check);
    };
    socket.setTimeout(CHECK_LIMIT_MS, () => settle('no-answer'));
    socket.once('connect', () => settle('accepted'));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      settle(error.code === 'ECONNREFUSED' ? 'refused' : 'failed'),
    );
  });

class Guard implements CrashGuard {
  readonly methods: Readonly<Record<string, LinkMethod>>;

  private state: PoisonState = { crashes: [], blocks: new Map() };

  private readonly running = new RunningAttempts();

  private hosts: HostRegistry | undefined;

  constructor(private readonly options: CrashGuardOptions) {
    this.methods = {
      [REPORT_CRASH]: (params) => {
        this.apply(params as CrashReport, 'peer');
        return true;
      },
    };
  }

  start(hosts: HostRegistry): void {
    this.hosts = hosts;
  }

  isBlocked(fingerprint: string): boolean {
    return readBlock(this.state, fingerprint, this.options.clock.monotonicMs()) !== undefined;
  }

  watch(serverId: string, fingerprint: string): () => void {
    const attempt = {};
    this.running.add(serverId, attempt, fingerprint);
    return () => this.running.remove(serverId, attempt);
  }

  async noteLost(server: KnownServer): Promise<void> {
    const { serverId, startedAtMs } = server;
    const report = { serverId, startId: String(startedAtMs), fingerprints: [...this.running.list(serverId)] };
    const check = await checkConnection(server);
    if (check !== 'refused') {
      this.noteUnproved(serverId, check);
      return;
    }
    this.options.metrics.report('server.losses', 1, { verdict: 'crashed' });
    this.apply(report, 'own');
    const { hosts } = this;
    hosts
      ?.list()
      .filter(({ hostId }) => hostId !== hosts.self.hostId)
      // A host that does not get the report learns of the request from its own crashes.
      .forEach(({ target }) => this.options.links.call(target, REPORT_CRASH, report).catch(() => undefined));
  }

  noteUnproved(serverId: string, reason: UnprovedLoss): void {
    const { logger, metrics } = this.options;
    metrics.report('server.losses', 1, { verdict: reason });
    logger.event('serverLossUnproved', { serverId, fingerprints: this.running.list(serverId), reason });
  }

  private apply(report: CrashReport, source: 'own' | 'peer'): void {
    const { serverId, startId, fingerprints } = report;
    const { clock, logger, metrics } = this.options;
    logger.event('serverCrashNoted', { serverId, startId, fingerprints, source });
    const step = advancePoison(this.state, { type: 'crash', ...report }, clock.monotonicMs());
    this.state = step.state;
    step.blocked.forEach((fingerprint) => {
      metrics.report('request.blocks', 1);
      logger.event('requestPoisoned', { fingerprint, serverId });
    });
  }
}

/**
 * Creates the guard against requests that crash servers. A request is blocked when two servers crashed under it, on
 * this host or others, and no other request explains both crashes, or when it ran in three crashes.
 *
 * @param options - links to other hosts
 * @returns the guard
 */
export default function createCrashGuard(options: CrashGuardOptions): CrashGuard {
  return new Guard(options);
}
