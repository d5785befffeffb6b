import type { Clock } from '@bergamotcove/clock';
import { BackendError, type HostList } from '@bergamotcove/backends';
import type { ListedHost, PeerAddress } from '@bergamotcove/protocol';
import type { Traffic } from './createVirtualNetwork.js';

/** Faults of the list; tests and measurements change them while it runs. */
export interface HostListFaults {
  down: boolean;
  /** Every read shows the state of this revision, as a replica that stands still does. */
  showRevision: number | undefined;
  isCut: (from: PeerAddress) => boolean;
}

/** The platform's host list in virtual time. */
export interface VirtualHostList {
  readonly faults: HostListFaults;
  revision(): number;
  /** Replaces the entries; the revision grows by one. */
  setHosts(hosts: readonly ListedHost[]): void;
  /** Starts again with other entries at a lower revision, as a restore does. */
  restart(hosts: readonly ListedHost[], revision: number): void;
  client(
    from: PeerAddress,
    clock: Clock,
    traffic: Traffic,
  ): (etag: string | undefined) => Promise<HostList | undefined>;
}

const DELAY_MS = 4;

/** Bytes of IP, TCP and HTTP headers of a request and its answer on a kept connection. */
const READ_BYTES = 600;

const wait = (clock: Clock, delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    clock.schedule(delayMs, resolve);
  });

interface Version {
  readonly list: HostList;
  readonly sizeBytes: number;
}

class List implements VirtualHostList {
  readonly faults: HostListFaults = { down: false, showRevision: undefined, isCut: () => false };

  private readonly versions = new Map<number, Version>();

  private current = 0;

  revision(): number {
    return this.current;
  }

  setHosts(hosts: readonly ListedHost[]): void {
    this.restart(hosts, this.current + 1);
  }

  restart(hosts: readonly ListedHost[], revision: number): void {
    this.current = revision;
    const list = { revision, hosts, etag: `"${revision}"` };
    this.versions.set(revision, { list, sizeBytes: JSON.stringify(list).length });
  }

  client(from: PeerAddress, clock: Clock, traffic: Traffic) {
    return async (etag: string | undefined): Promise<HostList | undefined> => {
      const counted = traffic;
      counted.listReads += 1;
      counted.listBytes += READ_BYTES;
      await wait(clock, DELAY_MS);
      const version = this.versions.get(this.faults.showRevision ?? this.current);
      if (this.faults.down || this.faults.isCut(from) || version === undefined) {
        throw new BackendError('unavailable', 'the host list does not answer');
      }
      if (version.list.etag === etag) {
        return undefined;
      }
      counted.listBytes += version.sizeBytes;
      return version.list;
    };
  }
}

/**
 * Creates a host list in virtual time.
 *
 * @returns the list; it has no entries before `setHosts`
 */
export default function createVirtualHostList(): VirtualHostList {
  return new List();
}
