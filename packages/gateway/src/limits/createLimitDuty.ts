import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import type { HostEntry, HostRegistry } from '../hosts/createHostRegistry.js';

/** Finds the host that hands out the sends to a server. */
export interface LimitDuty {
  /** The host for a server; undefined for a server that is not listed, or without any host. */
  findOwner(serverId: string): HostEntry | undefined;
  /** Whether this host hands out the sends to a server. */
  isOwn(serverId: string): boolean;
  /** Records that a host does not know the protocol, because it is of an earlier version. */
  noteUnable(host: HostEntry): void;
  start(hosts: HostRegistry): void;
}

/** Options of {@link createLimitDuty}. */
export interface LimitDutyOptions {
  readonly directory: Pick<BackendDirectory, 'find'>;
  /** Duty of the host that sends most of the requests of a pool. */
  readonly dutyOf: (pool: string) => string;
}

const formatStart = ({ hostId, startId }: HostEntry): string => `${hostId} ${startId}`;

/**
 * Creates the choice of the host that hands out the sends to a server: the one in the server's region that chooses the
 * servers of the pool anyway.
 *
 * @param options - server directory and duties
 * @returns the choice
 */
export default function createLimitDuty({ directory, dutyOf }: LimitDutyOptions): LimitDuty {
  const unable = new Set<string>();
  let hosts: HostRegistry | undefined;

  const findOwner = (serverId: string): HostEntry | undefined => {
    const server = directory.find(serverId);
    return server === undefined
      ? undefined
      : hosts?.rankOwners(dutyOf(server.pool), server.region).find((host) => !unable.has(formatStart(host)));
  };

  return {
    findOwner,
    isOwn: (serverId) => hosts !== undefined && findOwner(serverId)?.hostId === hosts.self.hostId,
    noteUnable: (host) => unable.add(formatStart(host)),
    start: (registry) => {
      hosts = registry;
    },
  };
}
