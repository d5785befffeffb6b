import type {
  ControlHeader,
  ControlMessage,
  DomainState,
  MemberState,
  MemberUpdate,
  PeerAddress,
} from '@bergamotcove/protocol';
import type { Random } from '../../routing/types.js';
import {
  FORWARD_FANOUT,
  MIN_FORWARD_INTERVAL_MS,
  MAX_UPDATES,
  REMOTE_REPEAT_MS,
  REPRESENTATIVES,
  MIN_GOSSIP_MS,
} from '../constants.js';
import type {
  DomainView,
  Member,
  MembershipAction,
  MembershipState,
  MembershipStep,
  Probe,
  Relay,
  GossipUpdate,
} from '../types.js';
import indexMembers, { buildIndex, type MemberIndex } from './indexMembers.js';

/** Precedence of the states within one incarnation; a higher one replaces a lower one. */
const STATE_RANK: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, leaving: 2, dead: 3, left: 4 };

const describeMember = ({ host, state, incarnation }: Member, withHost: boolean): MemberUpdate => ({
  hostId: host.hostId,
  state,
  incarnation,
  ...(withHost ? { host } : {}),
});

/**
 * Priority of an update, lowest first: suspicions, departures and refutations go before joins. Without this order, a
 * crash while many hosts joined was known 24 s late.
 */
const rankGossip = ({ update }: GossipUpdate): number => (update.state === 'alive' && update.incarnation === 0 ? 1 : 0);

type WithoutHeader<Message> = Message extends ControlMessage ? Omit<Message, keyof ControlHeader> : never;

/** Fields of a message apart from its header. */
export type MessageContent = WithoutHeader<ControlMessage>;

/** Working copy of the state during one event; the original state is not changed. */
export default class Draft {
  readonly self: PeerAddress;

  private memberMap: ReadonlyMap<string, Member>;

  /** Copy of the member map; undefined until this event changes a member. */
  private changedMap: Map<string, Member> | undefined;

  private changedIndex: MemberIndex | undefined;

  private urgent = false;

  readonly domains: Map<string, DomainView>;

  readonly probes: Map<number, Probe>;

  readonly relays: Map<number, Relay>;

  private readonly gossip: Map<string, GossipUpdate>;

  private readonly actions: MembershipAction[] = [];

  private fields: MembershipState;

  constructor(
    state: MembershipState,
    readonly nowMs: number,
    readonly random: Random,
  ) {
    this.fields = state;
    this.self = state.self;
    this.memberMap = state.members;
    this.domains = new Map(state.domains);
    this.probes = new Map(state.probes);
    this.relays = new Map(state.relays);
    this.gossip = new Map(state.gossip);
  }

  get state(): MembershipState {
    return this.fields;
  }

  get members(): ReadonlyMap<string, Member> {
    return this.memberMap;
  }

  /** Index of the current members. */
  get index(): MemberIndex {
    if (this.changedMap === undefined) {
      return indexMembers(this.memberMap);
    }
    this.changedIndex ??= buildIndex(this.changedMap);
    return this.changedIndex;
  }

  putMember(member: Member): void {
    this.writableMembers().set(member.host.hostId, member);
  }

  removeMember(hostId: string): void {
    this.writableMembers().delete(hostId);
  }

  /** Replaces scalar fields of the state. */
  set(changes: Partial<MembershipState>): void {
    this.fields = { ...this.fields, ...changes };
  }

  addAction(action: MembershipAction): void {
    this.actions.push(action);
  }

  finish(): MembershipStep {
    if (this.urgent) {
      this.forwardOrSchedule();
    }
    const { members, domains, probes, relays, gossip } = this;
    return { state: { ...this.fields, members, domains, probes, relays, gossip }, actions: this.actions };
  }

  liveMembers(): readonly Member[] {
    const lost = [...this.domains].flatMap(([name, { state }]) => (state === 'lost' ? [name] : []));
    return this.index.liveOutside(lost);
  }

  /** Reachable hosts of the own failure domain, without this one. */
  neighbours(): readonly Member[] {
    return this.index.reachableIn(this.self.failureDomain);
  }

  /** Ids of the own failure domain, this host included, in the order of the probe ring. */
  ring(): readonly string[] {
    return this.index.ringOf(this.self.failureDomain, this.self.hostId);
  }

  /** Whether this host is one of the representatives of its failure domain. */
  isRepresentative(): boolean {
    return this.ring().slice(0, REPRESENTATIVES).includes(this.self.hostId);
  }

  /** Draws up to `count` random items without replacement. */
  draw<Item>(items: readonly Item[], count: number): readonly Item[] {
    const remaining = [...items];
    const drawn: Item[] = [];
    while (drawn.length < count && remaining.length > 0) {
      drawn.push(...remaining.splice(Math.floor(this.random() * remaining.length), 1));
    }
    return drawn;
  }

  /** Sends a message that carries the updates the receiver most likely lacks; returns its sequence number. */
  send(
    to: PeerAddress,
    content: MessageContent,
    sequence = this.takeSequence(),
    changes?: readonly MemberUpdate[],
  ): number {
    const { self, fields } = this;
    const local = to.failureDomain === self.failureDomain;
    const knownReceiver = this.members.get(to.hostId);
    // The receiver must be told which state it is believed to be in, so that it can refute a wrong one.
    const receiverUpdate =
      knownReceiver === undefined || knownReceiver.state === 'alive' ? [] : [describeMember(knownReceiver, false)];
    const queuedUpdates = changes ?? (local ? this.takeGossip(to.hostId) : this.recentChanges());
    const domains = local
      ? [...this.domains].flatMap(([failureDomain, { state, version }]) =>
          version === 0 ? [] : [{ failureDomain, state, version }],
        )
      : [];
    const header: ControlHeader = {
      from: self,
      incarnation: fields.incarnation,
      sequence,
      updates: [...receiverUpdate, ...queuedUpdates],
      domains,
      digest: fields.digest,
    };
    this.addAction({ type: 'send', to, message: { ...header, ...content } });
    return sequence;
  }

  /** Queues an update for the next messages. */
  queueGossip(update: MemberUpdate): void {
    this.gossip.set(update.hostId, { update, sends: 0, sinceMs: this.nowMs });
  }

  /** Applies an update about a host from a peer, an own probe or the host list; ignores it if it is not newer. */
  applyUpdate(update: MemberUpdate, source: 'peers' | 'list' = 'peers'): void {
    if (update.hostId === this.self.hostId) {
      this.refute(update);
      return;
    }
    const known = this.members.get(update.hostId);
    const host = update.host ?? known?.host;
    if (host === undefined || (known === undefined && STATE_RANK[update.state] >= STATE_RANK.dead)) {
      return;
    }
    const newer =
      known === undefined ||
      update.incarnation > known.incarnation ||
      (update.incarnation === known.incarnation && STATE_RANK[update.state] > STATE_RANK[known.state]);
    if (!newer) {
      return;
    }
    const { incarnation } = update;
    const isOverruled = update.state === 'alive' && known?.listedLeaving === true;
    const state = isOverruled ? 'leaving' : update.state;
    const sinceMs = known?.state === state ? known.sinceMs : this.nowMs;
    const { listed = false, listedLeaving = false } = known ?? {};
    this.putMember({ host, state, incarnation, sinceMs, listed, listedLeaving });
    // Every host has the host list; gossip about its entries would crowd out the updates that peers need.
    if (source === 'peers' || state !== 'alive') {
      this.queueGossip({ ...update, ...(state === 'alive' || known === undefined ? { host } : {}) });
    }
    if (known?.state !== state) {
      this.addAction({ type: 'member-changed', host, state });
      this.noteUrgentChange(host, state, known?.state);
    }
  }

  /** Sets the state of a known failure domain, by default with the next higher version. */
  setDomainState(failureDomain: string, state: DomainState, version?: number): void {
    const view = this.domains.get(failureDomain);
    if (view !== undefined) {
      const next = version ?? view.version + 1;
      const sinceMs = state === view.state ? view.sinceMs : this.nowMs;
      this.domains.set(failureDomain, { ...view, state, version: next, sinceMs });
      if (view.state !== state) {
        this.addAction({ type: 'domain-changed', failureDomain, state });
        this.urgent = true;
      }
    }
  }

  /** Marks the changes of this event as urgent; waiting for the next probes would delay their spread by seconds. */
  markUrgent(): void {
    this.urgent = true;
  }

  /** Sends urgent changes to some neighbours and, if this host is a representative, to the other failure domains. */
  forward(): void {
    this.set({ forwardDue: false, lastForwardMs: this.nowMs });
    this.draw(this.neighbours(), FORWARD_FANOUT).forEach(({ host }) => this.send(host, { type: 'ping' }));
    const { outbox } = this.fields;
    this.set({ outbox: [] });
    if (outbox.length > 0 && this.isRepresentative()) {
      this.forwardRemote(
        outbox.flatMap((hostId) => {
          const member = this.members.get(hostId);
          return member === undefined ? [] : [describeMember(member, member.state === 'alive')];
        }),
      );
    }
  }

  /** Sends changes to the representatives of the other failure domains. */
  forwardRemote(changes: readonly MemberUpdate[]): void {
    const size = MAX_UPDATES - 1;
    [...this.domains]
      .filter(([, { state }]) => state !== 'lost')
      .flatMap(([name]) =>
        this.index
          .ringOf(name, '')
          .filter((id) => id !== '')
          .slice(0, REPRESENTATIVES),
      )
      .flatMap((hostId) => this.members.get(hostId)?.host ?? [])
      .forEach((host) => {
        for (let from = 0; from < changes.length; from += size) {
          this.send(host, { type: 'ping' }, this.takeSequence(), changes.slice(from, from + size));
        }
      });
  }

  private forwardOrSchedule(): void {
    if (this.nowMs - this.fields.lastForwardMs >= MIN_FORWARD_INTERVAL_MS) {
      this.forward();
    } else {
      this.set({ forwardDue: true });
    }
  }

  /** Marks a change as urgent if other hosts must know it within seconds. */
  private noteUrgentChange(host: PeerAddress, state: MemberState, before: MemberState | undefined): void {
    const ends = STATE_RANK[state] >= STATE_RANK.leaving;
    const returns = before !== undefined && STATE_RANK[before] >= STATE_RANK.leaving;
    const own = host.failureDomain === this.self.failureDomain;
    if (ends || returns || (own && before !== undefined)) {
      this.urgent = true;
    }
    if (own && (ends || returns)) {
      this.set({ outbox: [...new Set([...this.fields.outbox, host.hostId])] });
    }
  }

  private writableMembers(): Map<string, Member> {
    this.changedMap ??= new Map(this.memberMap);
    this.memberMap = this.changedMap;
    this.changedIndex = undefined;
    return this.changedMap;
  }

  private takeSequence(): number {
    const { nextSequence } = this.fields;
    this.set({ nextSequence: nextSequence + 1 });
    return nextSequence;
  }

  /** Refutes a wrong update about this host by raising the own incarnation above it. */
  private refute(update: MemberUpdate): void {
    const { incarnation, phase, listedLeaving } = this.fields;
    if (update.state === 'leaving' && listedLeaving && update.incarnation <= incarnation) {
      return;
    }
    const same = update.state === phase && (update.host?.peersPort ?? this.self.peersPort) === this.self.peersPort;
    if (update.incarnation > incarnation || (update.incarnation === incarnation && !same && update.state !== 'alive')) {
      const own = { hostId: this.self.hostId, state: phase, incarnation: update.incarnation + 1, host: this.self };
      this.set({ incarnation: own.incarnation });
      this.queueGossip(own);
      this.markUrgent();
    }
  }

  private takeGossip(receiverId: string): readonly MemberUpdate[] {
    const limit = Math.ceil(4 * Math.log10(this.neighbours().length + 2)) + 1;
    const chosen = [...this.gossip]
      .filter(([hostId]) => hostId !== receiverId)
      .sort(([, a], [, b]) => rankGossip(a) - rankGossip(b) || a.sends - b.sends)
      .slice(0, MAX_UPDATES);
    chosen.forEach(([hostId, { update, sends, sinceMs }]) => {
      if (sends + 1 >= limit && this.nowMs - sinceMs >= MIN_GOSSIP_MS) {
        this.gossip.delete(hostId);
      } else {
        this.gossip.set(hostId, { update, sends: sends + 1, sinceMs });
      }
    });
    return chosen.map(([, { update }]) => update);
  }

  /** Recent changes in the own failure domain, for hosts of other failure domains. */
  private recentChanges(): readonly MemberUpdate[] {
    const recent = (this.index.byDomain.get(this.self.failureDomain) ?? []).filter(
      ({ sinceMs }) => this.nowMs - sinceMs < REMOTE_REPEAT_MS,
    );
    // A random sample, because the newest changes alone would leave out the rest of a lost rack.
    return this.draw(recent, MAX_UPDATES - 1).map((member) => describeMember(member, member.state === 'alive'));
  }
}
