/** An entry host as known to this host; it may be this host itself. */
export interface EntryHostView {
  readonly hostId: string;
  readonly address: string;
  readonly peersPort: number;
  readonly failureDomain: string;
  readonly region: string;
}

/** The entry hosts that this host considers live, including itself. */
export interface PeerDirectory {
  liveHosts(): readonly EntryHostView[];
}
