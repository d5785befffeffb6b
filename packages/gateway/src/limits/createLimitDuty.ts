import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import type { HostEntry, HostRegistry } from '../hosts/createHostRegistry.js';

/** Finds the host that hands out the sends to a server. */
export interface LimitDuty {
  /** The host for a server; undefined for a server that is not listed, or without any host. */
  findOwner(serverId: string): HostEntry | undefined;
  /** Whether this host hands out the sends to a server. */
  isOwn(serverId: string): boolean;
  /**
   * Records that a host does not know the protocol, because it is of an earlier version; with `paces`, only that it does
   * not regard the pace of servers that started.
   */
  noteUnable(host: HostEntry, part?: 'paces'): void;
  start(hosts: HostRegistry): void;
}

/** Options of {@link createLimitDuty}. */
export interface LimitDutyOptions {
  readonly directory: Pick<BackendDirectory, 'find'>;
  /** Duty of the host that sends most of the requests of a pool. */
  readonly dutyOf: (pool: string) => string;
  /** Whether a server is held to a pace. */
  readonly isPaced: (serverId: string) => boolean;
}

const formatStart = ({ hostId, startId }: HostEntry): string => `${hostId} ${startId}`;

/**
 * Creates the choice of the host that hands out the sends to a server: the one in the server's region that chooses the
 * servers of the pool anyway.
 *
 * @param options - server directory and duties
 * @returns the choice
 */
export default function createLimitDuty({ directory, dutyOf, isPaced }: LimitDutyOptions): LimitDuty {
  const unable = new Set<string>();
  const unpaced = new Set<string>();
  let hosts: HostRegistry | undefined;

  const findOwner = (serverId: string): HostEntry | undefined => {
    const server = directory.find(serverId);
    if (server === undefined) {
      return undefined;
    }
    const excluded = unpaced.size > 0 && isPaced(serverId) ? new Set([...unable, ...unpaced]) : unable;
    return hosts?.rankOwners(dutyOf(server.pool), server.region).find((host) => !excluded.has(formatStart(host)));
  };

  return {
    findOwner,
    isOwn: (serverId) => hosts !== undefined && findOwner(serverId)?.hostId === hosts.self.hostId,
    noteUnable: (host, part) => (part === 'paces' ? unpaced : unable).add(formatStart(host)),
    start: (registry) => {
      hosts = registry;
    },
  };
}
