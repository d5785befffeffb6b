/** Address and location of an entry host. */
export interface PeerAddress {
  readonly hostId: string;
  readonly address: string;
  readonly peersPort: number;
  readonly failureDomain: string;
  readonly region: string;
}

/** State of a host in the membership. */
export type MemberState = 'alive' | 'suspect' | 'leaving' | 'dead' | 'left';

/** State of a host as one host reports it. */
export interface MemberUpdate {
  readonly hostId: string;
  readonly state: MemberState;
  readonly incarnation: number;
  /** Present when the receiver may not know the host. */
  readonly host?: PeerAddress;
}

/** State of a failure domain as seen from another one. */
export type DomainState = 'live' | 'suspect' | 'lost';

/** State of a failure domain as one host reports it; a higher version replaces a lower one. */
export interface DomainUpdate {
  readonly failureDomain: string;
  readonly state: DomainState;
  readonly version: number;
}

/** Fields of every control message. */
export interface ControlHeader {
  readonly from: PeerAddress;
  readonly incarnation: number;
  readonly sequence: number;
  readonly updates: readonly MemberUpdate[];
  /** Not in version 1. */
  readonly domains: readonly DomainUpdate[];
  /** Hash of all document versions of the sender; empty in version 1. */
  readonly digest: string;
}

/** A message in one datagram. */
export type ControlMessage =
  | (ControlHeader & { readonly type: 'ping' })
  | (ControlHeader & { readonly type: 'ack' })
  /** Asks the receiver to ping the target and to relay its ack. */
  | (ControlHeader & { readonly type: 'indirect-ping'; readonly target: PeerAddress })
  | (ControlHeader & { readonly type: 'relayed-ack'; readonly targetId: string })
  /** Load or suspicion summary within a failure domain; the format of the payload depends on the topic. */
  | (ControlHeader & { readonly type: 'summary'; readonly topic: string; readonly payload: Uint8Array });

/** A decoded message and the highest version that its sender supports. */
export interface DecodedMessage {
  readonly message: ControlMessage;
  readonly version: number;
}
