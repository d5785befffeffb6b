import type { LinkMethod } from '@bergamotcove/transport';
import type { HostEntry, HostRegistry } from '../hosts/createHostRegistry.js';

/** Whether this host reaches backend servers. */
export type ContactState =
  /** It reaches at least one server, or has no reason to doubt it. */
  | 'reached'
  /** It reaches no server, and at least one other host does. */
  | 'cut-off'
  /** It reaches no server, and no other host is known to reach one. */
  | 'alone';

/** Contact of this host to all backend servers together. */
export interface ServerContact {
  readonly state: ContactState;
  /** Hosts that have stated that they reach servers, nearest first; empty unless this host is cut off. */
  carriers(): readonly HostEntry[];
  /** Records that a host that was listed by {@link carriers} did not answer, stops, or reaches no server. */
  noteCarrierLost(hostId: string): void;
  /** Calls a listener when the state has changed. */
  onChange(run: (state: ContactState) => void): void;
  /** Methods that other hosts call. */
  readonly methods: Readonly<Record<string, LinkMethod>>;
  start(hosts: HostRegistry): void;
  close(): void;
}
