import type {
  ControlHeader,
  ControlMessage,
  DomainState,
  MemberState,
  MemberUpdate,
  PeerAddress,
} from '@bergamotcove/protocol';
import type { Random } from '../../routing/types.js';
import { INDIRECT_PROBES, MAX_UPDATES, REMOTE_REPEAT_MS } from '../constants.js';
import listLiveMembers from '../listLiveMembers.js';
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

/** Order of the states within one incarnation; a later one replaces an earlier one. */
const RANK: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, leaving: 2, dead: 3, left: 4 };

const describeMember = ({ host, state, incarnation }: Member, withHost: boolean): MemberUpdate => ({
  hostId: host.hostId,
  state,
  incarnation,
  ...(withHost ? { host } : {}),
});

type WithoutHeader<Message> = Message extends ControlMessage ? Omit<Message, keyof ControlHeader> : never;

/** Message fields beyond the header. */
export type Content = WithoutHeader<ControlMessage>;

/** Working copy of the state during one event; the state that it was made from stays as it was. */
export default class Draft {
  readonly self: PeerAddress;

  readonly members: Map<string, Member>;

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
    this.members = new Map(state.members);
    this.domains = new Map(state.domains);
    this.probes = new Map(state.probes);
    this.relays = new Map(state.relays);
    this.rumours = new Map(state.rumours);
  }

  get state(): MembershipState {
    return this.fields;
  }

  /** Replaces scalar fields of the state. */
  set(changes: Partial<MembershipState>): void {
    this.fields = { ...this.fields, ...changes };
  }

  act(action: MembershipAction): void {
    this.actions.push(action);
  }

  finish(): MembershipStep {
    const { members, domains, probes, relays, rumours } = this;
    return { state: { ...this.fields, members, domains, probes, relays, rumours }, actions: this.actions };
  }

  live(): readonly Member[] {
    return listLiveMembers(this);
  }

  /** Live hosts of the own failure domain, without this one. */
  neighbours(): readonly Member[] {
    return this.live().filter(({ host }) => host.failureDomain === this.self.failureDomain);
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
  send(to: PeerAddress, content: Content, sequence = this.takeSequence()): number {
    const { self, fields } = this;
    const local = to.failureDomain === self.failureDomain;
    const about = this.members.get(to.hostId);
    // The receiver must learn a wrong verdict about itself to refute it.
    const verdict = about === undefined || about.state === 'alive' ? [] : [describeMember(about, false)];
    const spread = local ? this.takeRumours(to.hostId) : this.recentChanges();
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
    this.rumours.set(update.hostId, { update, sends: 0 });
  }

  /** Applies what another host or an own probe says about a host. */
  apply(update: MemberUpdate): void {
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
    const { state, incarnation } = update;
    const sinceMs = known?.state === state ? known.sinceMs : this.nowMs;
    this.members.set(host.hostId, { host, state, incarnation, sinceMs, listed: known?.listed ?? false });
    this.spread({ ...update, ...(state === 'alive' || known === undefined ? { host } : {}) });
    if (known?.state !== state) {
      this.act({ type: 'member-changed', host, state });
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
      }
    }
  }

  /** Sends what this host has just found out at once; waiting for the next probes costs seconds of the verdict time. */
  tellNeighbours(): void {
    this.draw(this.neighbours(), INDIRECT_PROBES).forEach(({ host }) => this.send(host, { type: 'ping' }));
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
      .sort(([, a], [, b]) => a.sends - b.sends)
      .slice(0, MAX_UPDATES);
    chosen.forEach(([hostId, { update, sends }]) => {
      if (sends + 1 >= limit) {
        this.rumours.delete(hostId);
      } else {
        this.rumours.set(hostId, { update, sends: sends + 1 });
      }
    });
    return chosen.map(([, { update }]) => update);
  }

  /** Changes of the own failure domain for hosts of another one. */
  private recentChanges(): readonly MemberUpdate[] {
    return [...this.members.values()]
      .filter(
        ({ host, sinceMs }) =>
          host.failureDomain === this.self.failureDomain && this.nowMs - sinceMs < REMOTE_REPEAT_MS,
      )
      .sort((a, b) => b.sinceMs - a.sinceMs)
      .slice(0, MAX_UPDATES - 1)
      .map((member) => describeMember(member, member.state === 'alive'));
  }
}
