import type { PeerAddress, VersionedDocument } from '@bergamotcove/protocol';
import rankByRendezvous from '../../membership/rankByRendezvous.js';
import type { Random } from '../../routing/types.js';
import { POLL_INTERVAL_MS, MIN_READ_RETRY_MS, WATCHER_KEY, WATCHERS } from '../constants.js';
import hashVersions from '../hashVersions.js';
import type { ConfigFinding, ConvergenceAction, ConvergenceState, ConvergenceStep, HeldDocument } from '../types.js';

/** Working copy of the state during one event; the original state is not changed. */
export default class Draft {
  private readonly actions: ConvergenceAction[] = [];

  private readonly documents: Map<string, HeldDocument>;

  private readonly findings: Map<string, ConfigFinding>;

  private readonly applied: VersionedDocument[] = [];

  private fields: ConvergenceState;

  constructor(
    state: ConvergenceState,
    readonly nowMs: number,
    readonly random: Random,
  ) {
    this.fields = state;
    this.documents = new Map(state.documents);
    this.findings = new Map(state.findings);
  }

  get state(): ConvergenceState {
    return this.fields;
  }

  set(changes: Partial<ConvergenceState>): void {
    this.fields = { ...this.fields, ...changes };
  }

  addAction(action: ConvergenceAction): void {
    this.actions.push(action);
  }

  findDocument(service: string): HeldDocument | undefined {
    return this.documents.get(service);
  }

  listServices(): readonly string[] {
    return [...this.documents.keys()];
  }

  /** Documents that came into force in this event. */
  newDocuments(): readonly VersionedDocument[] {
    return this.applied;
  }

  /** Puts a document in force if its version is higher than the held one. No other code changes a document. */
  applyIfNewer(document: VersionedDocument): 'applied' | 'same' | 'older' | 'conflict' {
    const held = this.documents.get(document.service);
    if (held !== undefined && document.version <= held.version) {
      if (document.version < held.version) {
        return 'older';
      }
      return document.hash === held.hash ? 'same' : 'conflict';
    }
    const { service, version, hash, text } = document;
    this.documents.set(service, { service, version, hash, text, appliedMs: this.nowMs });
    this.applied.push({ service, version, hash, text });
    this.addAction({ type: 'apply', document: { service, version, hash, text } });
    this.clear(service);
    return 'applied';
  }

  report(type: ConfigFinding['type'], service: string, offered: number, source: string): void {
    const known = this.findings.get(service);
    const inForce = this.documents.get(service)?.version ?? 0;
    if (known?.type !== type || known.offered !== offered || known.source !== source) {
      const finding = { type, service, inForce, offered, source, sinceMs: this.nowMs };
      this.findings.set(service, finding);
      this.addAction({ type: 'report', finding });
    }
  }

  clear(service: string): void {
    if (this.findings.delete(service)) {
      this.addAction({ type: 'clear', service });
    }
  }

  setLearntFrom(from: 'store' | 'peer'): void {
    if (this.fields.learntFrom === undefined) {
      this.addAction({ type: 'learnt', from });
    }
    this.set({ learntFrom: from === 'store' ? 'store' : (this.fields.learntFrom ?? 'peer') });
  }

  /** Other live hosts of the own failure domain. */
  neighbours(): readonly PeerAddress[] {
    const { self, hosts } = this.fields;
    return hosts.filter((host) => host.failureDomain === self.failureDomain && host.hostId !== self.hostId);
  }

  /** Watchers of a failure domain, highest rank first. */
  watchersOf(failureDomain: string): readonly PeerAddress[] {
    const byId = new Map(
      this.fields.hosts
        .filter((host) => host.failureDomain === failureDomain)
        .map((host) => [host.hostId, host] as const),
    );
    return rankByRendezvous([...byId.keys()], WATCHER_KEY)
      .slice(0, WATCHERS)
      .map((hostId) => byId.get(hostId) as PeerAddress);
  }

  pick<Item>(items: readonly Item[]): Item | undefined {
    return items[Math.floor(this.random() * items.length)];
  }

  /** Schedules the next slow poll with jitter; the hosts of a failure domain share its polls. */
  schedulePoll(): void {
    const share = Math.max(1, (this.neighbours().length + 1) / WATCHERS);
    this.set({ nextReadMs: this.nowMs + POLL_INTERVAL_MS * share * (0.75 + this.random() / 2), readFailures: 0 });
  }

  /** Schedules the retry of a failed read with exponential back-off and jitter over the upper half of the delay. */
  scheduleRetry(): void {
    const readFailures = this.fields.readFailures + 1;
    const delayMs = Math.min(POLL_INTERVAL_MS, MIN_READ_RETRY_MS * 2 ** (readFailures - 1));
    this.set({ nextReadMs: this.nowMs + delayMs * (0.5 + this.random() / 2), readFailures });
  }

  finish(): ConvergenceStep {
    const { documents, findings } = this;
    if (this.applied.length === 0) {
      return { state: { ...this.fields, findings }, actions: this.actions };
    }
    const digest = hashVersions([...documents.values()]);
    this.addAction({ type: 'digest-changed', digest });
    const digestChange = { digest, digestSinceMs: this.nowMs, mutedDigests: new Map<string, number>() };
    return { state: { ...this.fields, documents, findings, ...digestChange }, actions: this.actions };
  }
}
