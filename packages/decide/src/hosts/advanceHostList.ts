import { exhaustive } from '@bergamotcove/errors';
import type { HostsChanged, ListedHost, PeerAddress } from '@bergamotcove/protocol';
import rankByRendezvous from '../membership/rankByRendezvous.js';
import type { Random } from '../routing/types.js';
import {
  NOTICE_DELAY_MS,
  NOTICE_INTERVAL_MS,
  OLDER_REVISION_MS,
  READER_KEY,
  MAX_READER_RETRY_MS,
  READERS,
  MAX_REPAIR_DELAY_MS,
  MAX_RETRY_MS,
  MAX_SILENCE_MS,
} from './constants.js';
import diffHosts, { type HostsDiff } from './diffHosts.js';
import type { HostListAction, HostListEvent, HostListState, HostListStep, HostListVersion } from './types.js';

type ReadList = Extract<HostListEvent, { type: 'read' }>['list'];

const NO_CHANGE: HostsDiff = { changed: [], removed: [] };

/** Working copy of the state during one event. */
class Draft {
  readonly actions: HostListAction[] = [];

  constructor(
    public state: HostListState,
    readonly nowMs: number,
    readonly random: Random,
  ) {}

  set(changes: Partial<HostListState>): void {
    this.state = { ...this.state, ...changes };
  }

  /** Records that the platform or a reader has confirmed the revision in use. */
  confirm(): void {
    this.set({ confirmedMs: this.nowMs, repairMs: undefined, olderSinceMs: undefined });
  }

  applyVersion(known: HostListVersion): void {
    this.set({ known });
    this.confirm();
    this.actions.push({ type: 'changed', hosts: [...known.hosts.values()] });
  }

  /** Pushes a change to the other hosts of the failure domain. */
  pushChange(before: number, diff: HostsDiff): void {
    const { neighbours } = this.state;
    this.set({ nextNoticeMs: this.nowMs + NOTICE_DELAY_MS });
    if (neighbours.length > 0 && diff.changed.length + diff.removed.length > 0) {
      this.actions.push({ type: 'tell', to: neighbours, notice: this.createNotice(before, diff) });
    }
  }

  /** Sends the revision without a change. */
  announceRevision(): void {
    const { known } = this.state;
    this.set({ nextNoticeMs: this.nowMs + NOTICE_INTERVAL_MS });
    if (known !== undefined) {
      this.actions.push({ type: 'announce', notice: this.createNotice(known.revision, NO_CHANGE) });
    }
  }

  private createNotice(before: number, { changed, removed }: HostsDiff): HostsChanged {
    const { known, self } = this.state;
    return {
      from: self.hostId,
      before,
      revision: known?.revision ?? before,
      changed: [...changed],
      removed: [...removed],
      ...(known?.etag === undefined ? {} : { etag: known.etag }),
    };
  }

  /** Schedules the next read after an answered one. */
  scheduleRead(): void {
    this.set({ reading: false, readFailures: 0, answeredMs: this.nowMs, nextReadMs: this.nowMs + this.state.readMs });
  }
}

const applyPeers = (draft: Draft, hosts: readonly PeerAddress[]): void => {
  const { self, isReader, nextReadMs, readMs } = draft.state;
  const neighbours = hosts.filter(
    ({ hostId, failureDomain }) => failureDomain === self.failureDomain && hostId !== self.hostId,
  );
  const ids = [self.hostId, ...neighbours.map(({ hostId }) => hostId)];
  const willRead = rankByRendezvous(ids, READER_KEY).slice(0, READERS).includes(self.hostId);
  draft.set({ neighbours, isReader: willRead });
  if (willRead && !isReader) {
    draft.set({ nextReadMs: Math.min(nextReadMs, draft.nowMs + draft.random() * readMs) });
  }
};

const readWhenDue = (draft: Draft): void => {
  const { confirmedMs, isReader, known, nextReadMs, reading, repairMs } = draft.state;
  const readsItself = isReader || known === undefined || draft.nowMs - confirmedMs >= MAX_SILENCE_MS;
  const due = (readsItself && draft.nowMs >= nextReadMs) || (repairMs !== undefined && draft.nowMs >= repairMs);
  if (due && !reading) {
    draft.set({ reading: true, repairMs: undefined });
    draft.actions.push({ type: 'read', ...(known?.etag === undefined ? {} : { etag: known.etag }) });
  }
};

const tick = (draft: Draft): void => {
  readWhenDue(draft);
  const { answeredMs, isReader, known, nextNoticeMs, olderSinceMs } = draft.state;
  // A reader that cannot read the list sends no revision, so that the other hosts start to read it themselves.
  const fresh = answeredMs !== undefined && draft.nowMs - answeredMs < NOTICE_INTERVAL_MS && olderSinceMs === undefined;
  if (isReader && fresh && known !== undefined && draft.nowMs >= nextNoticeMs) {
    draft.announceRevision();
  }
};

const applyRead = (draft: Draft, known: HostListVersion | undefined, list: ReadList): void => {
  const hosts = new Map(list.hosts.map((host) => [host.id, host]));
  const diff = diffHosts(known?.hosts ?? new Map(), hosts);
  const { revision, etag } = list;
  draft.applyVersion({ revision, hosts, ...(etag === undefined ? {} : { etag }) });
  if (draft.state.isReader) {
    draft.pushChange(known?.revision ?? revision, known === undefined ? NO_CHANGE : diff);
  }
};

/** Handles a list that was read; an older one is applied only after every read has shown an older one for a while. */
const handleRead = (draft: Draft, list: ReadList): void => {
  const { known, olderSinceMs } = draft.state;
  draft.scheduleRead();
  if (known === undefined || list.revision > known.revision) {
    applyRead(draft, known, list);
    return;
  }
  if (list.revision === known.revision) {
    const { changed, removed } = diffHosts(known.hosts, new Map(list.hosts.map((host) => [host.id, host])));
    if (changed.length + removed.length > 0) {
      applyRead(draft, known, list);
    }
    draft.set({ known: { ...(draft.state.known ?? known), ...(list.etag === undefined ? {} : { etag: list.etag }) } });
    draft.confirm();
    return;
  }
  if (olderSinceMs === undefined) {
    draft.set({ olderSinceMs: draft.nowMs });
  } else if (draft.nowMs - olderSinceMs >= OLDER_REVISION_MS) {
    draft.actions.push({ type: 'went-back', known: known.revision, offered: list.revision });
    applyRead(draft, known, list);
  }
};

const handleReadFailure = (draft: Draft): void => {
  const { isReader, readMs } = draft.state;
  const readFailures = draft.state.readFailures + 1;
  const maxDelayMs = isReader || draft.state.known === undefined ? MAX_READER_RETRY_MS : MAX_RETRY_MS;
  const baseMs = isReader ? readMs : MAX_SILENCE_MS;
  const delayMs = Math.min(maxDelayMs, baseMs * 2 ** (readFailures - 1));
  draft.set({ reading: false, readFailures, nextReadMs: draft.nowMs + delayMs * (0.5 + draft.random() / 2) });
};

const applyNotice = (known: HostListVersion, { changed, removed, revision, etag }: HostsChanged): HostListVersion => {
  const hosts = new Map<string, ListedHost>(known.hosts);
  removed.forEach((id) => hosts.delete(id));
  changed.forEach((host) => hosts.set(host.id, host));
  return { revision, hosts, ...(etag === undefined ? {} : { etag }) };
};

/** Applies a change to the revision in use; a change to any other revision leaves a gap, which a read repairs. */
const handleNotice = (draft: Draft, notice: HostsChanged): void => {
  const { isReader, known, nextNoticeMs, repairMs } = draft.state;
  if (known === undefined) {
    return;
  }
  if (notice.revision === known.revision) {
    draft.confirm();
  } else if (notice.before === known.revision) {
    draft.applyVersion(applyNotice(known, notice));
    if (isReader) {
      draft.set({ nextNoticeMs: Math.min(nextNoticeMs, draft.nowMs + NOTICE_DELAY_MS) });
    }
  } else if (notice.revision > known.revision) {
    draft.set({ repairMs: repairMs ?? draft.nowMs + draft.random() * MAX_REPAIR_DELAY_MS });
  }
};

/**
 * Advances the host list of one host by one event. The two readers of a failure domain read it every second and push
 * changes to the other hosts, which read it only after a gap or when no reader confirms their revision.
 *
 * @param state - state before the event
 * @param event - the event
 * @param nowMs - monotonic time
 * @param random - source of random numbers
 * @returns the new state and the actions for the interpreter
 * @example
 * const { state: next, actions } = advanceHostList(state, { type: 'tick' }, clock.monotonicMs(), Math.random);
 */
export default function advanceHostList(
  state: HostListState,
  event: HostListEvent,
  nowMs: number,
  random: Random,
): HostListStep {
  const draft = new Draft(state, nowMs, random);
  switch (event.type) {
    case 'tick':
      tick(draft);
      break;
    case 'peers-changed':
      applyPeers(draft, event.hosts);
      break;
    case 'read':
      handleRead(draft, event.list);
      break;
    case 'read-unchanged':
      draft.scheduleRead();
      draft.confirm();
      break;
    case 'read-failed':
      handleReadFailure(draft);
      break;
    case 'heard':
      handleNotice(draft, event.notice);
      break;
    default:
      exhaustive(event);
  }
  return { state: draft.state, actions: draft.actions };
}
