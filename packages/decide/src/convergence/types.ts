import type { DocumentVersion, PeerAddress, VersionedDocument } from '@bergamotcove/protocol';

/** A document in force. */
export interface HeldDocument extends VersionedDocument {
  readonly appliedMs: number;
}

/** A document version that is offered and not followed. */
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

/** Versions that a peer holds and this host lacks. */
export interface Offer {
  readonly from: PeerAddress;
  readonly versions: readonly DocumentVersion[];
  readonly dueMs: number;
}

/** Configuration as one host holds it. */
export interface ConvergenceState {
  readonly self: PeerAddress;
  /** Live entry hosts, this one included. */
  readonly hosts: readonly PeerAddress[];
  readonly documents: ReadonlyMap<string, HeldDocument>;
  readonly findings: ReadonlyMap<string, ConfigFinding>;
  /** Where the heads were learnt; the host is not ready before. */
  readonly learntFrom: 'store' | 'peer' | undefined;
  readonly digest: string;
  readonly digestSinceMs: number;
  /** Rank among the watchers of the own failure domain; undefined for other hosts. */
  readonly watcherRank: number | undefined;
  readonly watch: 'off' | 'starting' | 'on';
  /** When to read the store next: a poll, a retry or the start of a watch. */
  readonly nextReadMs: number;
  readonly readFailures: number;
  readonly nextPullMs: number;
  readonly startedMs: number;
  /** Start of the open pull. */
  readonly pullSinceMs: number | undefined;
  readonly offers: readonly Offer[];
  /** Peer digests that are known to bring nothing, with the end of that. */
  readonly muted: ReadonlyMap<string, number>;
}

/** What happens to the configuration. */
export type ConvergenceEvent =
  | { readonly type: 'tick' }
  | { readonly type: 'hosts-changed'; readonly hosts: readonly PeerAddress[] }
  /** All heads of the store, as of a read that began at `startedMs`. */
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
      /** Digest of the peer that caused the pull. */
      readonly peerDigest?: string;
    }
  | { readonly type: 'pull-failed' }
  | { readonly type: 'digest-heard'; readonly from: PeerAddress; readonly digest: string }
  /** The host did not run for a while. */
  | { readonly type: 'woke' };

/** What the interpreter does. */
export type ConvergenceAction =
  | { readonly type: 'apply'; readonly document: VersionedDocument }
  | { readonly type: 'report'; readonly finding: ConfigFinding }
  | { readonly type: 'clear'; readonly service: string }
  | { readonly type: 'learnt'; readonly from: 'store' | 'peer' }
  | { readonly type: 'read-store' }
  /** Read all heads and then watch from that revision. */
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
