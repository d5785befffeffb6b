import type { LoadReport, PoolView, ProcessEnd, ServerEventInput } from '@bergamotcove/decide';
import type { ServerEntry, ServerSigns } from '../ports.js';
import type { StorePosition } from './comparePositions.js';

/** A backend server with its place. */
export interface KnownServer extends ServerEntry {
  readonly region: string;
}

/** A process of a server that gets no more work, because it has ended or another one took its place. */
export interface EndedProcess extends KnownServer {
  readonly end: ProcessEnd;
}

/** An entry of the store as another host passes it on. */
export interface StoredServer {
  readonly serverId: string;
  readonly text: string;
  readonly revision: number;
}

/** All entries as of a position of the store. */
export interface ServerSnapshot {
  readonly servers: readonly StoredServer[];
  readonly revision: number;
  /** Undefined from hosts of earlier versions, which have the era of the receiver. */
  readonly era?: number;
}

/** Backend servers as this host sees them. */
export interface BackendDirectory {
  /** Whether the store does not answer, or has answered again for too short a time for lapsed entries to be back. */
  readonly storeLost: boolean;
  /** Latest position of the store that this host knows of. */
  readonly position: StorePosition;
  /** Servers of a pool that may get new work, those that rest included. */
  list(pool: string): readonly KnownServer[];
  /** Those of them in a region, or all when it has none. */
  listNear(pool: string, region: string): readonly KnownServer[];
  find(serverId: string): KnownServer | undefined;
  /** The server at an address, `IP:PORT`. */
  findAt(address: string): KnownServer | undefined;
  /** Servers of a pool that this host may send to now, with what it has learnt about them. */
  view(pool: string): PoolView;
  note(serverId: string, event: ServerEventInput): void;
  noteReport(serverId: string, report: LoadReport, hosts: number): void;
  /** The process at the server's address is another one. */
  noteGone(serverId: string): void;
  /**
   * Takes what a server said in an answer. A leaving process gets no new work from this host, whatever its entry says;
   * one that asks for a rest gets no requests from this host until its end.
   */
  noteSigns(serverId: string, signs: ServerSigns): void;
  /** End of the rest that a server asked for, monotonic time; in the past without one. */
  readRestEndMs(serverId: string): number;
  /** Time until the first server of a pool ends its rest; undefined unless all of them rest. */
  readReturnMs(pool: string): number | undefined;
  /** Servers of a pool that other hosts may still use, but not this one. */
  listShunned(pool: string): readonly string[];
  put(server: StoredServer, era?: number): void;
  remove(serverId: string, position: StorePosition): void;
  /**
   * Everything that is not in the snapshot and older than it is gone. The first one of an era may lack servers that live
   * and show others that have left.
   */
  replace(snapshot: ServerSnapshot): void;
  snapshot(): ServerSnapshot;
  /** Replaces the regions of failure domains. */
  setRegions(regions: Readonly<Record<string, string>>): void;
  /** The store stopped answering, or answers again. */
  noteStore(state: 'lost' | 'found'): void;
  onChange(run: () => void): void;
  onProcessEnded(run: (process: EndedProcess) => void): void;
  close(): void;
}
