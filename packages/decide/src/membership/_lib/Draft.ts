import type {
  ControlHeader,
  ControlMessage,
  DomainState,
  MemberState,
  MemberUpdate,
  PeerAddress,
} from '@bergamotcove/protocol';
import type { Random } from '../../routing/types.js';
import { FORWARD_HOSTS, FORWARD_MS, MAX_UPDATES, REMOTE_REPEAT_MS, REPRESENTATIVES, RUMOUR_MS } from '../constants.js';
import type {
  DomainView,
  Member,
  MembershipAction,
  MembershipState,
  MembershipStep,
  Probe,
  Relay,
  Rumour,
} from '../types.js';
import indexMembers, { buildIndex, type MemberIndex } from './indexMembers.js';

/** Order of the states within one incarnation; a later one replaces an earlier one. */
const RANK: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, leaving: 2, dead: 3, left: 4 };

const describeMember = ({ host, state, incarnation }: Member, withHost: boolean): MemberUpdate => ({
  hostId: host.hostId,
  state,
  incarnation,
  ...(withHost ? { host } : {}),
});

/** Suspicions, ends and refutations go before joins: while many hosts join, a crash was known 24 s late. */
const rankRumour = ({ update }: Rumour): number => (update.state === 'alive' && update.incarnation === 0 ? 1 : 0);

type WithoutHeader<Message> = Message extends ControlMessage ? Omit<Message, keyof ControlHeader> : never;

/** Message fields beyond the header. */
export type Content = WithoutHeader<ControlMessage>;

/** Working copy of the state during one event; the state that it was made from stays as it was. */
export default class Draft {
  readonly self: PeerAddress;

  private memberMap: ReadonlyMap<string, Member>;

  /** The member map when this event changed it. */
  private changedMap: Map<string, Member> | undefined;

  private changedIndex: MemberIndex | undefined;

  private urgent = false;

  readonly domains: Map<string, DomainView>;

  readonly probes: Map<number, Probe>;

  readonly relays: Map<number, Relay>;

  private readonly rumours: Map<string, Rumour>;

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
    this.rumours = new Map(state.rumours);
  }

  get state(): MembershipState {
    return this.fields;
  }

  get members(): ReadonlyMap<string, Member> {
    return this.memberMap;
  }

  /** Groups of the members as they are now. */
  get index(): MemberIndex {
    if (this.changedMap === undefined) {
      return indexMembers(this.memberMap);
    }
    this.changedIndex ??= buildIndex(this.changedMap);
    return this.changedIndex;
  }

  putMember(member: Member): void {
    this.ownMembers().set(member.host.hostId, member);
  }

  dropMember(hostId: string): void {
    this.ownMembers().delete(hostId);
  }

  /** Replaces scalar fields of the state. */
  set(changes: Partial<MembershipState>): void {
    this.fields = { ...this.fields, ...changes };
  }

  act(action: MembershipAction): void {
    this.actions.push(action);
  }

  finish(): MembershipStep {
    if (this.urgent) {
      this.forwardSoon();
    }
    const { members, domains, probes, relays, rumours } = this;
    return { state: { ...this.fields, members, domains, probes, relays, rumours }, actions: this.actions };
  }

  live(): readonly Member[] {
    const lost = [...this.domains].flatMap(([name, { state }]) => (state === 'lost' ? [name] : []));
    return this.index.liveOutside(lost);
  }

  /** Live hosts of the own failure domain, without this one. */
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

  /** Draws items without repetition. */
  draw<Item>(items: readonly Item[], count: number): readonly Item[] {
    const rest = [...items];
    const drawn: Item[] = [];
    while (drawn.length < count && rest.length > 0) {
      drawn.push(...rest.splice(Math.floor(this.random() * rest.length), 1));
    }
    return drawn;
  }

  /** Sends a message with the updates that the receiver most likely lacks; returns its sequence number. */
  send(to: PeerAddress, content: Content, sequence = this.takeSequence(), changes?: readonly MemberUpdate[]): number {
    const { self, fields } = this;
    const local = to.failureDomain === self.failureDomain;
    const about = this.members.get(to.hostId);
    // The receiver must learn a wrong verdict about itself to refute it.
    const verdict = about === undefined || about.state === 'alive' ? [] : [describeMember(about, false)];
    const spread = changes ?? (local ? this.takeRumours(to.hostId) : this.recentChanges());
    const domains = local
      ? [...this.domains].flatMap(([failureDomain, { state, version }]) =>
          version === 0 ? [] : [{ failureDomain, state, version }],
        )
      : [];
    const header: ControlHeader = {
      from: self,
      incarnation: fields.incarnation,
      sequence,
      updates: [...verdict, ...spread],
      domains,
      digest: fields.digest,
    };
    this.act({ type: 'send', to, message: { ...header, ...content } });
    return sequence;
  }

  /** Repeats an update in the next messages. */
  spread(update: MemberUpdate): void {
    this.rumours.set(update.hostId, { update, sends: 0, sinceMs: this.nowMs });
  }

  /** Applies what another host, an own probe or the host list says about a host. */
  apply(update: MemberUpdate, source: 'peers' | 'list' = 'peers'): void {
    if (update.hostId === this.self.hostId) {
      this.refute(update);
      return;
    }
    const known = this.members.get(update.hostId);
    const host = update.host ?? known?.host;
    if (host === undefined || (known === undefined && RANK[update.state] >= RANK.dead)) {
      return;
    }
    const newer =
      known === undefined ||
      update.incarnation > known.incarnation ||
      (update.incarnation === known.incarnation && RANK[update.state] > RANK[known.state]);
    if (!newer) {
      return;
    }
    const { incarnation } = update;
    const lagging = update.state === 'alive' && known?.listedLeaving === true;
    const state = lagging ? 'leaving' : update.state;
    const sinceMs = known?.state === state ? known.sinceMs : this.nowMs;
    const { listed = false, listedLeaving = false } = known ?? {};
    this.putMember({ host, state, incarnation, sinceMs, listed, listedLeaving });
    // Every host has the list; repeating its entries would crowd out what peers must hear from this host.
    if (source === 'peers' || state !== 'alive') {
      this.spread({ ...update, ...(state === 'alive' || known === undefined ? { host } : {}) });
    }
    if (known?.state !== state) {
      this.act({ type: 'member-changed', host, state });
      this.hurry(host, state, known?.state);
    }
  }

  /** Sets the state of a failure domain with a version above the known one. */
  judgeDomain(failureDomain: string, state: DomainState, version?: number): void {
    const view = this.domains.get(failureDomain);
    if (view !== undefined) {
      const next = version ?? view.version + 1;
      const sinceMs = state === view.state ? view.sinceMs : this.nowMs;
      this.domains.set(failureDomain, { ...view, state, version: next, sinceMs });
      if (view.state !== state) {
        this.act({ type: 'domain-changed', failureDomain, state });
        this.urgent = true;
      }
    }
  }

  /** Marks what this event changed as urgent; waiting for the next probes costs seconds of the verdict time. */
  tellNeighbours(): void {
    this.urgent = true;
  }

  /** Sends urgent changes to some neighbours, and as a representative to the other failure domains. */
  forward(): void {
    this.set({ forwardDue: false, forwardedMs: this.nowMs });
    this.draw(this.neighbours(), FORWARD_HOSTS).forEach(({ host }) => this.send(host, { type: 'ping' }));
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

  private forwardSoon(): void {
    if (this.nowMs - this.fields.forwardedMs >= FORWARD_MS) {
      this.forward();
    } else {
      this.set({ forwardDue: true });
    }
  }

  /** Notes a change that must be known within seconds. */
  private hurry(host: PeerAddress, state: MemberState, before: MemberState | undefined): void {
    const ends = RANK[state] >= RANK.leaving;
    const returns = before !== undefined && RANK[before] >= RANK.leaving;
    const own = host.failureDomain === this.self.failureDomain;
    if (ends || returns || (own && before !== undefined)) {
      this.urgent = true;
    }
    if (own && (ends || returns)) {
      this.set({ outbox: [...new Set([...this.fields.outbox, host.hostId])] });
    }
  }

  private ownMembers(): Map<string, Member> {
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

  /** Raises the own incarnation above a statement that is wrong. */
  private refute(update: MemberUpdate): void {
    const { incarnation, phase, listedLeaving } = this.fields;
    if (update.state === 'leaving' && listedLeaving && update.incarnation <= incarnation) {
      return;
    }
    const same = update.state === phase && (update.host?.peersPort ?? this.self.peersPort) === this.self.peersPort;
    if (update.incarnation > incarnation || (update.incarnation === incarnation && !same && update.state !== 'alive')) {
      const own = { hostId: this.self.hostId, state: phase, incarnation: update.incarnation + 1, host: this.self };
      this.set({ incarnation: own.incarnation });
      this.spread(own);
      this.tellNeighbours();
    }
  }

  private takeRumours(receiverId: string): readonly MemberUpdate[] {
    const limit = Math.ceil(4 * Math.log10(this.neighbours().length + 2)) + 1;
    const chosen = [...this.rumours]
      .filter(([hostId]) => hostId !== receiverId)
      .sort(([, a], [, b]) => rankRumour(a) - rankRumour(b) || a.sends - b.sends)
      .slice(0, MAX_UPDATES);
    chosen.forEach(([hostId, { update, sends, sinceMs }]) => {
      if (sends + 1 >= limit && this.nowMs - sinceMs >= RUMOUR_MS) {
        this.rumours.delete(hostId);
      } else {
        this.rumours.set(hostId, { update, sends: sends + 1, sinceMs });
      }
    });
    return chosen.map(([, { update }]) => update);
  }

  /** Changes of the own failure domain for hosts of another one. */
  private recentChanges(): readonly MemberUpdate[] {
    const recent = (this.index.byDomain.get(this.self.failureDomain) ?? []).filter(
      ({ sinceMs }) => this.nowMs - sinceMs < REMOTE_REPEAT_MS,
    );
    // A random part, because the newest ones alone would hide the rest of a lost rack.
    return this.draw(recent, MAX_UPDATES - 1).map((member) => describeMember(member, member.state === 'alive'));
  }
}
