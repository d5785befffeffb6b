import type { HostsChanged, ListedHost, PeerAddress } from '@bergamotcove/protocol';

/** One version of the host list. */
export interface HostListVersion {
  readonly revision: number;
  readonly etag?: string;
  readonly hosts: ReadonlyMap<string, ListedHost>;
}

/** State of the host list on one host. */
export interface HostListState {
  readonly self: PeerAddress;
  /** Interval between two reads of a reader. */
  readonly readMs: number;
  /** Other live hosts of the own failure domain. */
  readonly neighbours: readonly PeerAddress[];
  readonly isReader: boolean;
  /** The list in use; undefined until the first one has arrived. */
  readonly known: HostListVersion | undefined;
  readonly reading: boolean;
  /** Earliest time of the next read, except for the repair of a missed revision. */
  readonly nextReadMs: number;
  /** When to repair a missed revision; undefined without one. */
  readonly repairMs: number | undefined;
  readonly readFailures: number;
  /** When a read or a reader last confirmed the revision in use. */
  readonly confirmedMs: number;
  /** When the platform last answered a read; undefined if it never did. */
  readonly answeredMs: number | undefined;
  readonly nextNoticeMs: number;
  /** Since when every read has shown an older revision; undefined otherwise. */
  readonly olderSinceMs: number | undefined;
}

/** Events that the host list reacts to. */
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
  /** A notice of a reader arrived, with a change or with its revision only. */
  | { readonly type: 'heard'; readonly notice: HostsChanged };

/** Actions for the interpreter. */
export type HostListAction =
  /** Read the list if its ETag differs from the given one. */
  | { readonly type: 'read'; readonly etag?: string }
  /** Call each host to deliver a change. */
  | { readonly type: 'tell'; readonly to: readonly PeerAddress[]; readonly notice: HostsChanged }
  /** Send the revision without a change to the failure domain, as a datagram that may be lost. */
  | { readonly type: 'announce'; readonly notice: HostsChanged }
  | { readonly type: 'changed'; readonly hosts: readonly ListedHost[] }
  /** Report that the list went back to an older revision, which is applied. */
  | { readonly type: 'went-back'; readonly known: number; readonly offered: number };

/** Result of one event. */
export interface HostListStep {
  readonly state: HostListState;
  readonly actions: readonly HostListAction[];
}
