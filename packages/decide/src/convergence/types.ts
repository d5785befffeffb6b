import type { DocumentVersion, PeerAddress, VersionedDocument } from '@bergamotcove/protocol';

/** A service document in force on this host. */
export interface HeldDocument extends VersionedDocument {
  readonly appliedMs: number;
}

/** Finding about a document version that a source offers and this host does not apply. */
export interface ConfigFinding {
  readonly type: 'store-regressed' | 'hash-conflict';
  readonly service: string;
  readonly inForce: number;
  /** Version at the source; zero when the source has none. */
  readonly offered: number;
  /** `store`, or the id of a peer. */
  readonly source: string;
  readonly sinceMs: number;
}

/** Newer versions that a peer has offered, to be pulled when due. */
export interface Offer {
  readonly from: PeerAddress;
  readonly versions: readonly DocumentVersion[];
  readonly dueMs: number;
}

/** State of the distribution of service documents on one host. */
export interface ConvergenceState {
  readonly self: PeerAddress;
  /** Live entry hosts, this one included. */
  readonly hosts: readonly PeerAddress[];
  readonly documents: ReadonlyMap<string, HeldDocument>;
  readonly findings: ReadonlyMap<string, ConfigFinding>;
  /** Where the heads of all documents were learnt; the host is not ready while it is undefined. */
  readonly learntFrom: 'store' | 'peer' | undefined;
  readonly digest: string;
  readonly digestSinceMs: number;
  /** Rank of this host among the watchers of its failure domain; undefined if it is no watcher. */
  readonly watcherRank: number | undefined;
  readonly watch: 'off' | 'starting' | 'on';
  /** When to read the store next, for a poll, a retry or the start of a watch. */
  readonly nextReadMs: number;
  readonly readFailures: number;
  readonly nextPullMs: number;
  readonly startedMs: number;
  /** Start of the pull in progress; undefined without one. */
  readonly pullStartedMs: number | undefined;
  readonly offers: readonly Offer[];
  /** Peer digests from which a pull brought nothing, with the time until which they are ignored. */
  readonly mutedDigests: ReadonlyMap<string, number>;
}

/** Events that the distribution reacts to. */
export type ConvergenceEvent =
  | { readonly type: 'tick' }
  | { readonly type: 'hosts-changed'; readonly hosts: readonly PeerAddress[] }
  /** Heads (latest versions) of all documents in the store, from a read that began at `startedMs`. */
  | { readonly type: 'store-read'; readonly documents: readonly VersionedDocument[]; readonly startedMs: number }
  | { readonly type: 'store-failed' }
  | { readonly type: 'watch-started' }
  | { readonly type: 'watch-changed'; readonly document: VersionedDocument }
  | { readonly type: 'watch-lost' }
  | { readonly type: 'pushed'; readonly from: PeerAddress; readonly documents: readonly VersionedDocument[] }
  | { readonly type: 'offered'; readonly from: PeerAddress; readonly versions: readonly DocumentVersion[] }
  | {
      readonly type: 'pull-answered';
      readonly from: PeerAddress;
      readonly documents: readonly VersionedDocument[];
      readonly wanted: readonly string[];
      readonly learnt: boolean;
      /** Digest of the peer, if it caused the pull. */
      readonly peerDigest?: string;
    }
  | { readonly type: 'pull-failed' }
  | { readonly type: 'digest-heard'; readonly from: PeerAddress; readonly digest: string }
  /** This host was paused and runs again. */
  | { readonly type: 'woke' };

/** Actions for the interpreter. */
export type ConvergenceAction =
  | { readonly type: 'apply'; readonly document: VersionedDocument }
  | { readonly type: 'report'; readonly finding: ConfigFinding }
  | { readonly type: 'clear'; readonly service: string }
  | { readonly type: 'learnt'; readonly from: 'store' | 'peer' }
  | { readonly type: 'read-store' }
  /** Read all heads and then watch the store from that revision. */
  | { readonly type: 'start-watch' }
  | { readonly type: 'stop-watch' }
  | { readonly type: 'push'; readonly to: readonly PeerAddress[]; readonly documents: readonly VersionedDocument[] }
  | { readonly type: 'offer'; readonly to: readonly PeerAddress[]; readonly versions: readonly DocumentVersion[] }
  | {
      readonly type: 'pull';
      readonly from: PeerAddress;
      readonly services?: readonly string[];
      readonly peerDigest?: string;
    }
  | { readonly type: 'digest-changed'; readonly digest: string };

/** Result of one event. */
export interface ConvergenceStep {
  readonly state: ConvergenceState;
  readonly actions: readonly ConvergenceAction[];
}
