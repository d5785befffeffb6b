import { Subject, type Observable } from 'rxjs';
import type { Clock, Timer } from '@bergamotcove/clock';
import {
  advanceMembership,
  createMembershipState,
  hashView,
  listLiveMembers,
  TICK_MS,
  type ListedPeer,
  type Member,
  type MembershipAction,
  type MembershipEvent,
  type MembershipState,
} from '@bergamotcove/decide';
import { exhaustive } from '@bergamotcove/errors';
import type { Logger } from '@bergamotcove/log';
import {
  chooseVersion,
  decodeMessage,
  encodeMessage,
  membershipComparedSchema,
  membershipCompareSchema,
  membershipSyncSchema,
  ProtocolError,
  type ControlMessage,
  type MemberUpdate,
  type PeerAddress,
} from '@bergamotcove/protocol';
import type { PeerClient, PeerServer } from '@bergamotcove/transport';
import { PEER_TIMEOUT_MS } from './constants.js';

/** Options of {@link createMembership}. */
export interface MembershipOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: () => number;
  readonly self: PeerAddress;
  readonly peerClient: PeerClient;
  /** Sends one datagram; it may be lost. */
  readonly send: (to: PeerAddress, bytes: Uint8Array) => void;
}

/** A digest of the documents of a peer, a summary that a peer sent, or the end of a pause of this process. */
export type PeerNews = Extract<MembershipAction, { type: 'digest-heard' | 'summary-heard' | 'woke' }>;

/** Live entry hosts as this host sees them. */
export interface Membership {
  state(): MembershipState;
  /** Live hosts, this one included; the same array until a member changes. */
  liveHosts(): readonly PeerAddress[];
  /** Emits what peers send beside membership, and the end of each pause of this process. */
  readonly news: Observable<PeerNews>;
  /** Processes the message of a datagram. */
  receive(bytes: Uint8Array): void;
  /** Sets the entry hosts of the host list. */
  setListed(peers: readonly ListedPeer[]): void;
  /** Sets the digest of the documents of this host, which is sent to peers. */
  setDigest(digest: string): void;
  /** Sends a summary to every live host of the own failure domain. */
  broadcastSummary(topic: string, payload: Uint8Array): void;
  /** Sends a summary to the given hosts; those that are not live are skipped. */
  sendSummary(topic: string, payload: Uint8Array, hostIds: readonly string[]): void;
  /** Announces to the peers that this host is about to stop. */
  announceLeaving(): void;
  /** Registers `membership.compare` and `membership.sync`. */
  register(server: PeerServer): void;
  start(): void;
  close(): void;
}

const listMemberUpdates = ({ self, incarnation, phase, members }: MembershipState): readonly MemberUpdate[] => [
  { hostId: self.hostId, state: phase, incarnation, host: self },
  ...[...members.values()].map((member) => ({
    hostId: member.host.hostId,
    state: member.state,
    incarnation: member.incarnation,
    host: member.host,
  })),
];

/** Feeds events to the membership reducer and performs its actions. */
class ReducerMembership implements Membership {
  private readonly newsSubject = new Subject<PeerNews>();

  private readonly protocolVersions = new Map<string, number>();

  private currentState: MembershipState;

  private liveMembers: readonly Member[] | undefined;

  private liveAddresses: readonly PeerAddress[] = [];

  private timer: Timer | undefined;

  private closed = false;

  readonly news = this.newsSubject.asObservable();

  constructor(private readonly options: MembershipOptions) {
    this.currentState = createMembershipState(options.self, options.clock.monotonicMs());
  }

  state(): MembershipState {
    return this.currentState;
  }

  liveHosts(): readonly PeerAddress[] {
    const members = listLiveMembers(this.currentState);
    if (members !== this.liveMembers) {
      this.liveMembers = members;
      this.liveAddresses = [this.options.self, ...members.map(({ host }) => host)];
    }
    return this.liveAddresses;
  }

  receive(bytes: Uint8Array): void {
    try {
      const { message, version } = decodeMessage(bytes);
      this.protocolVersions.set(message.from.hostId, version);
      this.handle({ type: 'message', message });
    } catch (cause) {
      if (!(cause instanceof ProtocolError)) {
        throw cause;
      }
      this.options.logger.event('peerMessageInvalid', { error: cause.message });
    }
  }

  setListed(peers: readonly ListedPeer[]): void {
    this.handle({ type: 'listed', peers });
  }

  setDigest(digest: string): void {
    this.handle({ type: 'digest-changed', digest });
  }

  broadcastSummary(topic: string, payload: Uint8Array): void {
    const { self } = this.options;
    const neighbours = this.liveHosts().filter((host) => host.failureDomain === self.failureDomain);
    this.sendSummary(
      topic,
      payload,
      neighbours.map((host) => host.hostId),
    );
  }

  sendSummary(topic: string, payload: Uint8Array, hostIds: readonly string[]): void {
    const { self } = this.options;
    const wanted = new Set(hostIds);
    const header = { from: self, incarnation: this.currentState.incarnation, sequence: 0, updates: [], domains: [] };
    this.liveHosts()
      .filter((host) => wanted.has(host.hostId) && host.hostId !== self.hostId)
      .forEach((host) => this.send(host, { type: 'summary', ...header, digest: '', topic, payload }));
  }

  announceLeaving(): void {
    this.handle({ type: 'leaving' });
  }

  register(server: PeerServer): void {
    server.register('membership.compare', (params) => {
      const { hash } = membershipCompareSchema.parse(params);
      return { same: hash === hashView(this.currentState) };
    });
    server.register('membership.sync', (params) => {
      this.applyView(params);
      return { from: this.options.self.hostId, updates: listMemberUpdates(this.currentState) };
    });
  }

  start(): void {
    this.timer = this.options.clock.schedule(TICK_MS, () => {
      this.handle({ type: 'tick' });
      if (!this.closed) {
        this.start();
      }
    });
  }

  close(): void {
    this.handle({ type: 'left' });
    this.closed = true;
    this.timer?.close();
    this.newsSubject.complete();
  }

  private handle(event: MembershipEvent): void {
    if (this.closed) {
      return;
    }
    const { clock, random } = this.options;
    const { state, actions } = advanceMembership(this.currentState, event, clock.monotonicMs(), random);
    this.currentState = state;
    actions.forEach((action) => this.perform(action));
  }

  private perform(action: MembershipAction): void {
    const { logger } = this.options;
    switch (action.type) {
      case 'send':
        this.send(action.to, action.message);
        break;
      case 'sync':
        this.sync(action.peer).catch(() => undefined);
        break;
      case 'member-changed':
        logger.event('memberChanged', { peer: action.host.hostId, state: action.state });
        break;
      case 'domain-changed':
        logger.event('domainChanged', { domain: action.failureDomain, state: action.state });
        break;
      case 'woke':
        logger.event('hostPaused', { pausedMs: action.pausedMs });
        this.newsSubject.next(action);
        break;
      case 'digest-heard':
      case 'summary-heard':
        this.newsSubject.next(action);
        break;
      default:
        exhaustive(action);
    }
  }

  /** Sends a message. One that is too large is sent without some of its updates, which spread with later messages. */
  private send(to: PeerAddress, message: ControlMessage): void {
    const version = chooseVersion(this.protocolVersions.get(to.hostId));
    try {
      this.options.send(to, encodeMessage(message, version));
    } catch (cause) {
      const { updates } = message;
      if (!(cause instanceof ProtocolError) || updates.length === 0) {
        throw cause;
      }
      this.send(to, { ...message, updates: updates.slice(0, Math.floor(updates.length / 2)) });
    }
  }

  private applyView(value: unknown): void {
    const { updates } = membershipSyncSchema.parse(value);
    this.handle({ type: 'synced', updates });
  }

  /** Whether a peer has the same view; false for a peer that does not answer, so that the whole views are exchanged. */
  private async hasSameView(peer: PeerAddress): Promise<boolean> {
    try {
      const answer = await this.call(peer, 'membership.compare', { hash: hashView(this.currentState) });
      return membershipComparedSchema.parse(answer).same;
    } catch {
      return false;
    }
  }

  /** Exchanges the whole views if they differ; with 410 hosts, the exchange transfers 160 KB. */
  private async sync(peer: PeerAddress): Promise<void> {
    if (!(await this.hasSameView(peer))) {
      this.applyView(await this.call(peer, 'membership.sync', { updates: listMemberUpdates(this.currentState) }));
    }
  }

  private call(peer: PeerAddress, method: string, params: object): Promise<unknown> {
    const { peerClient, self } = this.options;
    const target = { address: peer.address, port: peer.peersPort };
    return peerClient.call(target, method, { from: self.hostId, ...params }, { timeoutMs: PEER_TIMEOUT_MS });
  }
}

/**
 * Creates the membership of a host.
 *
 * @param options - clock, own address, peer client and datagram sender
 * @returns the membership; it probes peers from `start` to `close`
 * @example
 * const membership = createMembership({ clock, logger, random: Math.random, self, peerClient, send });
 */
export default function createMembership(options: MembershipOptions): Membership {
  return new ReducerMembership(options);
}
