import type { LoadReport, PoolView, ProcessEnd, ServerEventInput } from '@bergamotcove/decide';
import type { ServerEntry, ServerNotice } from '../ports.js';
import type { StorePosition } from './comparePositions.js';

/** A backend server with its region. */
export interface KnownServer extends ServerEntry {
  readonly region: string;
}

/** A process of a server that gets no more work, because it has ended or was replaced by another process. */
export interface EndedProcess extends KnownServer {
  readonly end: ProcessEnd;
}

/** A server's entry as it stands in the store; hosts also exchange it in this form. */
export interface StoredServer {
  readonly serverId: string;
  readonly text: string;
  readonly revision: number;
}

/** All servers' entries as of a position of the store. */
export interface ServerSnapshot {
  readonly servers: readonly StoredServer[];
  readonly revision: number;
  /** Undefined from hosts of earlier versions, which have the era of the receiver. */
  readonly era?: number;
}

/** Backend servers as this host knows them. */
export interface BackendDirectory {
  /** Whether the store is unavailable, or back for too short a time for servers to have registered again. */
  readonly storeLost: boolean;
  /** Latest position of the store that this host knows. */
  readonly position: StorePosition;
  /** Servers of a pool that may get new work, including those in back-off. */
  list(pool: string): readonly KnownServer[];
  /** Servers of a pool in a region, or all servers of the pool when the region has none. */
  listNear(pool: string, region: string): readonly KnownServer[];
  /** Whether all live servers of a pool are in evacuated failure domains. */
  isEvacuated(pool: string): boolean;
  find(serverId: string): KnownServer | undefined;
  /** The server at an address, `IP:PORT`. */
  findAt(address: string): KnownServer | undefined;
  /** Servers of a pool that this host may send to now, with what it has observed of them. */
  view(pool: string): PoolView;
  note(serverId: string, event: ServerEventInput): void;
  noteReport(serverId: string, report: LoadReport, hosts: number): void;
  /** Records that another process answers at the server's address, so that the listed one gets no more work. */
  noteReplaced(serverId: string): void;
  /**
   * Applies what a server said about itself in an answer. A leaving process gets no new work from this host, whatever
   * its entry says; one that asks for a back-off gets no requests from this host until the back-off ends.
   */
  applyNotice(serverId: string, notice: Omit<ServerNotice, 'rateLimit'>): void;
  /** Sends a server nothing for some time, because it sent bytes that lead to no answer until it was abandoned. */
  suspendFlooding(serverId: string): void;
  /** End of the back-off that a server asked for, monotonic time; -Infinity without one. */
  readBackoffEndMs(serverId: string): number;
  /**
   * Time after which a caller may try a pool again: until the first back-off ends, or a second when all of its servers are
   * in evacuated failure domains. Undefined when a server may be used now, or none is listed.
   */
  readBackoffRemainingMs(pool: string): number | undefined;
  /** Servers of a pool that are listed as live but excluded on this host: leaving, replaced or in back-off. */
  listExcluded(pool: string): readonly string[];
  put(server: StoredServer, era?: number): void;
  remove(serverId: string, position: StorePosition): void;
  /**
   * Applies a snapshot: entries that are older than it and not in it are removed. The first snapshot of an era may lack
   * live servers and list servers that have left.
   */
  replace(snapshot: ServerSnapshot): void;
  snapshot(): ServerSnapshot;
  /** Replaces the regions of failure domains. */
  setRegions(regions: Readonly<Record<string, string>>): void;
  /** Records that the store stopped answering, or answers again. */
  noteStore(state: 'lost' | 'found'): void;
  onChange(run: () => void): void;
  /** Calls a listener for each entry of a server that is written or read for the first time. */
  onListed(run: (server: KnownServer) => void): void;
  onProcessEnded(run: (process: EndedProcess) => void): void;
  close(): void;
}
