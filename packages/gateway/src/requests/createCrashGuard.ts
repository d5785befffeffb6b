import { createHash } from 'node:crypto';
import net from 'node:net';
import type { Clock } from '@bergamotcove/clock';
import { advancePoison, readBlock, RunningAttempts, type PoisonState } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { LinkClient, LinkMethod, Target } from '@bergamotcove/transport';
import type { HostRegistry } from '../hosts/createHostRegistry.js';

/** What makes two requests of callers the same one. */
export interface RequestIdentity {
  readonly method: string;
  readonly path: string;
  readonly organisation: string | undefined;
  readonly body: Buffer | undefined;
}

/** Stops requests that crash the servers which run them, on all hosts. */
export interface CrashGuard {
  /** Whether the request crashed servers of late, by its fingerprint. */
  isBlocked(fingerprint: string): boolean;
  /** The request is sent to a server; call the returned function when the attempt has ended. */
  watch(serverId: string, fingerprint: string): () => void;
  /** A connection was lost before an answer; resolves when it is known whether the server crashed. */
  noteLost(server: Target & { readonly serverId: string }): Promise<void>;
  readonly methods: Readonly<Record<string, LinkMethod>>;
  /** Hosts that are told of crashes. */
  start(hosts: HostRegistry): void;
}

/** Options of {@link createCrashGuard}. */
export interface CrashGuardOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly links: LinkClient;
}

/** A crash as hosts tell it to each other. */
interface CrashReport {
  readonly serverId: string;
  readonly fingerprints: readonly string[];
}

const REPORT_CRASH = 'requests.crash';
const FINGERPRINT_CHARS = 22;
/** A server that takes no connection within this time is down or out of reach. */
const CHECK_LIMIT_MS = 150;

/** Fingerprint of a request: the same request gets the same one on every host. */
export const formatFingerprint = ({ method, path, organisation, body }: RequestIdentity): string =>
  createHash('sha256')
    .update(JSON.stringify([method, path, organisation ?? null]))
    .update(body ?? '')
    .digest('base64url')
    .slice(0, FINGERPRINT_CHARS);

/** Whether a server refuses connections. One that is out of reach has not crashed for sure. */
const refusesConnections = ({ address, port }: Target): Promise<boolean> =>
  new Promise((resolve) => {
    const socket = net.connect({ host: address, port });
    const settle = (refuses: boolean): void => {
      socket.destroy();
      resolve(refuses);
    };
    socket.setTimeout(CHECK_LIMIT_MS, () => settle(false));
    socket.once('connect', () => settle(false));
    socket.once('error', (error: NodeJS.ErrnoException) => settle(error.code === 'ECONNREFUSED'));
  });

class Guard implements CrashGuard {
  readonly methods: Readonly<Record<string, LinkMethod>>;

  private state: PoisonState = { crashes: [], blocks: new Map() };

  private readonly running = new RunningAttempts();

  private hosts: HostRegistry | undefined;

  constructor(private readonly options: CrashGuardOptions) {
    this.methods = {
      [REPORT_CRASH]: (params) => {
        this.apply(params as CrashReport);
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

  async noteLost(server: Target & { readonly serverId: string }): Promise<void> {
    const report = { serverId: server.serverId, fingerprints: [...this.running.list(server.serverId)] };
    if (!(await refusesConnections(server))) {
      return;
    }
    this.apply(report);
    const { hosts } = this;
    hosts
      ?.list()
      .filter(({ hostId }) => hostId !== hosts.self.hostId)
      // A host that does not get the report learns of the request from its own crashes.
      .forEach(({ target }) => this.options.links.call(target, REPORT_CRASH, report).catch(() => undefined));
  }

  private apply({ serverId, fingerprints }: CrashReport): void {
    const { clock, logger } = this.options;
    const step = advancePoison(this.state, { type: 'crash', serverId, fingerprints }, clock.monotonicMs());
    this.state = step.state;
    step.blocked.forEach((fingerprint) => logger.event('requestPoisoned', { fingerprint }));
  }
}

/**
 * Creates the guard against requests that crash servers. A request is blocked when two servers crashed under it, on
 * this host or others, and no other request explains both crashes.
 *
 * @param options - links to other hosts
 * @returns the guard
 */
export default function createCrashGuard(options: CrashGuardOptions): CrashGuard {
  return new Guard(options);
}
