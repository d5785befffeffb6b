import type { ControlMessage, DomainState, MemberState, MemberUpdate, PeerAddress } from '@bergamotcove/protocol';

/** Another entry host as this host sees it. */
export interface Member {
  readonly host: PeerAddress;
  readonly state: MemberState;
  readonly incarnation: number;
  /** When the host entered the state. */
  readonly sinceMs: number;
  /** Whether the last host list contains the host. */
  readonly listed: boolean;
  /**
   * Whether the last host list marks the host as leaving; a refutation by the host, whose own host list may be older,
   * is then ignored.
   */
  readonly listedLeaving: boolean;
}

/** Another failure domain as this host sees it. */
export interface DomainView {
  readonly state: DomainState;
  readonly version: number;
  readonly sinceMs: number;
  /** When the last direct message from a host of the failure domain arrived. */
  readonly heardMs: number;
}

/** A probe that waits for an ack. */
export interface Probe {
  readonly targetId: string;
  readonly sentMs: number;
  readonly indirect: boolean;
  /** Whether the host list has just dropped the target; a missing ack then declares it dead without a suspicion. */
  readonly delisted?: boolean;
}

/** An indirect probe on behalf of another host. */
export interface Relay {
  readonly origin: PeerAddress;
  readonly sequence: number;
  readonly sentMs: number;
}

/** An update that is piggybacked on the next messages. */
export interface GossipUpdate {
  readonly update: MemberUpdate;
  readonly sends: number;
  readonly sinceMs: number;
}

/** Membership as one host sees it. */
export interface MembershipState {
  readonly self: PeerAddress;
  readonly incarnation: number;
  readonly phase: 'alive' | 'leaving' | 'left';
  /** Whether the host list marks this host as leaving; updates that say so are then not refuted. */
  readonly listedLeaving: boolean;
  /** Every other known entry host by id. */
  readonly members: ReadonlyMap<string, Member>;
  /** Every other known failure domain by name. */
  readonly domains: ReadonlyMap<string, DomainView>;
  readonly probes: ReadonlyMap<number, Probe>;
  readonly relays: ReadonlyMap<number, Relay>;
  readonly gossip: ReadonlyMap<string, GossipUpdate>;
  /** Hosts still to be probed in the current round of random order. */
  readonly probeRound: readonly string[];
  readonly probePeriods: number;
  /** Other failure domains still to be probed in the current round. */
  readonly remoteRound: readonly string[];
  /** When this host became a representative; undefined while it is none. */
  readonly representativeSinceMs: number | undefined;
  readonly nextSequence: number;
  readonly lastTickMs: number;
  readonly nextPeriodMs: number;
  readonly nextReconnectMs: number;
  readonly nextSyncMs: number;
  /** Whether the first full sync has begun. */
  readonly synced: boolean;
  /** Whether urgent changes wait to be forwarded on the next tick. */
  readonly forwardDue: boolean;
  readonly lastForwardMs: number;
  /** Members of the own failure domain whose changes have not yet been sent to the other failure domains. */
  readonly outbox: readonly string[];
  /** Hash of the versions of all service documents in force; sent with each message. */
  readonly digest: string;
}

/** An entry host in the host list. */
export interface ListedPeer {
  readonly host: PeerAddress;
  readonly leaving: boolean;
}

/** Events that the membership reacts to. */
export type MembershipEvent =
  | { readonly type: 'tick' }
  | { readonly type: 'message'; readonly message: ControlMessage }
  | { readonly type: 'listed'; readonly peers: readonly ListedPeer[] }
  /** The full view of a peer arrived. */
  | { readonly type: 'synced'; readonly updates: readonly MemberUpdate[] }
  | { readonly type: 'digest-changed'; readonly digest: string }
  /** This host begins a planned stop. */
  | { readonly type: 'leaving' }
  /** The process of this host ends. */
  | { readonly type: 'left' };

/** Actions for the interpreter. */
export type MembershipAction =
  | { readonly type: 'send'; readonly to: PeerAddress; readonly message: ControlMessage }
  /** Exchange full views with the peer. */
  | { readonly type: 'sync'; readonly peer: PeerAddress }
  | { readonly type: 'member-changed'; readonly host: PeerAddress; readonly state: MemberState }
  | { readonly type: 'domain-changed'; readonly failureDomain: string; readonly state: DomainState }
  /** This host was paused and runs again. */
  | { readonly type: 'woke'; readonly pausedMs: number }
  | { readonly type: 'digest-heard'; readonly from: PeerAddress; readonly digest: string }
  | {
      readonly type: 'summary-heard';
      readonly from: PeerAddress;
      readonly topic: string;
      readonly payload: Uint8Array;
    };

/** Result of one event. */
export interface MembershipStep {
  readonly state: MembershipState;
  readonly actions: readonly MembershipAction[];
}
