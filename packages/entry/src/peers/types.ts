/** Another entry host, or this one, as this host sees it. */
export interface EntryHostView {
  readonly hostId: string;
  readonly address: string;
  readonly peersPort: number;
  readonly failureDomain: string;
  readonly region: string;
}

/** The entry hosts that this host believes to be live, itself included. */
export interface PeerDirectory {
  liveHosts(): readonly EntryHostView[];
}
