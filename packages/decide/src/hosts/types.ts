import type { HostsChanged, ListedHost, PeerAddress } from '@bergamotcove/protocol';

/** One state of the host list. */
export interface HostListVersion {
  readonly revision: number;
  readonly etag?: string;
  readonly hosts: ReadonlyMap<string, ListedHost>;
}

/** The host list as one host follows it. */
export interface HostListState {
  readonly self: PeerAddress;
  /** Interval between two reads of a reader. */
  readonly readMs: number;
  /** Other live hosts of the own failure domain. */
  readonly neighbours: readonly PeerAddress[];
  readonly isReader: boolean;
  /** The list in use; undefined before the first one arrived. */
  readonly known: HostListVersion | undefined;
  readonly reading: boolean;
  /** No read starts before this time, except the repair of a missed revision. */
  readonly nextReadMs: number;
  /** When to repair a missed revision. */
  readonly repairMs: number | undefined;
  readonly readFailures: number;
  /** Last time at which a read or a reader confirmed the revision in use. */
  readonly confirmedMs: number;
  /** Last read that the platform answered. */
  readonly answeredMs: number | undefined;
  readonly nextNoticeMs: number;
  /** Since when every read shows an older revision. */
  readonly olderSinceMs: number | undefined;
}

/** What happens to the host list. */
export type HostListEvent =
  | { readonly type: 'tick' }
  /** The live entry hosts changed. */
  | { readonly type: 'peers-changed'; readonly hosts: readonly PeerAddress[] }
  | {
      readonly type: 'read';
      readonly list: { readonly revision: number; readonly etag?: string; readonly hosts: readonly ListedHost[] };
    }
  | { readonly type: 'read-unchanged' }
  | { readonly type: 'read-failed' }
  /** A reader sent a change or its revision. */
  | { readonly type: 'heard'; readonly notice: HostsChanged };

/** What the interpreter does. */
export type HostListAction =
  /** Read the list, on the condition that it no longer has the tag. */
  | { readonly type: 'read'; readonly etag?: string }
  /** Call each host with a change. */
  | { readonly type: 'tell'; readonly to: readonly PeerAddress[]; readonly notice: HostsChanged }
  /** Send the revision alone to the failure domain, as a datagram that may be lost. */
  | { readonly type: 'announce'; readonly notice: HostsChanged }
  | { readonly type: 'changed'; readonly hosts: readonly ListedHost[] }
  /** The list went back to an older revision and is followed. */
  | { readonly type: 'went-back'; readonly known: number; readonly offered: number };

/** Result of one event. */
export interface HostListStep {
  readonly state: HostListState;
  readonly actions: readonly HostListAction[];
}
