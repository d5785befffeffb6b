import type { ControlMessage, DomainState, MemberState, MemberUpdate, PeerAddress } from '@bergamotcove/protocol';

/** Another entry host in the view of this one. */
export interface Member {
  readonly host: PeerAddress;
  readonly state: MemberState;
  readonly incarnation: number;
  /** When the state began. */
  readonly sinceMs: number;
  /** Whether the last host list names the host. */
  readonly listed: boolean;
  /** Whether the last host list calls the host leaving; then a refutation of a host that lags behind is not believed. */
  readonly listedLeaving: boolean;
}

/** Another failure domain in the view of this host. */
export interface DomainView {
  readonly state: DomainState;
  readonly version: number;
  readonly sinceMs: number;
  /** Last direct message from a host of the failure domain. */
  readonly heardMs: number;
}

/** A probe that waits for an ack. */
export interface Probe {
  readonly targetId: string;
  readonly sentMs: number;
  readonly indirect: boolean;
  /** The host list has just dropped the target; a missing ack then is the verdict. */
  readonly delisted?: boolean;
}

/** An indirect probe on behalf of another host. */
export interface Relay {
  readonly origin: PeerAddress;
  readonly sequence: number;
  readonly sentMs: number;
}

/** An update that spreads with the next messages. */
export interface Rumour {
  readonly update: MemberUpdate;
  readonly sends: number;
  readonly sinceMs: number;
}

/** Membership as one host sees it. */
export interface MembershipState {
  readonly self: PeerAddress;
  readonly incarnation: number;
  readonly phase: 'alive' | 'leaving' | 'left';
  /** Whether the host list marks this host as leaving; then that statement is true and is not refuted. */
  readonly listedLeaving: boolean;
  /** Every other known entry host by id. */
  readonly members: ReadonlyMap<string, Member>;
  /** Every other known failure domain by name. */
  readonly domains: ReadonlyMap<string, DomainView>;
  readonly probes: ReadonlyMap<number, Probe>;
  readonly relays: ReadonlyMap<number, Relay>;
  readonly rumours: ReadonlyMap<string, Rumour>;
  /** Hosts that are still to be probed in this round. */
  readonly round: readonly string[];
  readonly probePeriods: number;
  /** Other failure domains that are still to be probed in this round. */
  readonly remoteRound: readonly string[];
  /** Since when this host is a representative. */
  readonly representativeSinceMs: number | undefined;
  readonly nextSequence: number;
  readonly lastTickMs: number;
  readonly nextPeriodMs: number;
  readonly nextReconnectMs: number;
  readonly nextSyncMs: number;
  /** Whether the first exchange of whole views is done. */
  readonly synced: boolean;
  /** Changes that must be sent on at once are waiting for the next tick. */
  readonly forwardDue: boolean;
  readonly forwardedMs: number;
  /** Members of the own failure domain whose changes the other failure domains have not been sent. */
  readonly outbox: readonly string[];
  /** Hash of the versions of all documents in force; sent with each message. */
  readonly digest: string;
}

/** A host as the host list names it. */
export interface ListedPeer {
  readonly host: PeerAddress;
  readonly leaving: boolean;
}

/** What happens to the membership. */
export type MembershipEvent =
  | { readonly type: 'tick' }
  | { readonly type: 'message'; readonly message: ControlMessage }
  | { readonly type: 'listed'; readonly peers: readonly ListedPeer[] }
  /** A peer's whole view arrived. */
  | { readonly type: 'synced'; readonly updates: readonly MemberUpdate[] }
  | { readonly type: 'digest-changed'; readonly digest: string }
  /** A planned stop begins. */
  | { readonly type: 'leaving' }
  /** The process ends. */
  | { readonly type: 'left' };

/** What the interpreter does. */
export type MembershipAction =
  | { readonly type: 'send'; readonly to: PeerAddress; readonly message: ControlMessage }
  /** Exchange whole views with the peer. */
  | { readonly type: 'sync'; readonly peer: PeerAddress }
  | { readonly type: 'member-changed'; readonly host: PeerAddress; readonly state: MemberState }
  | { readonly type: 'domain-changed'; readonly failureDomain: string; readonly state: DomainState }
  /** This host did not run for a while. */
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
