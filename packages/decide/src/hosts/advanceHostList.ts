import { exhaustive } from '@bergamotcove/errors';
import type { HostsChanged, ListedHost, PeerAddress } from '@bergamotcove/protocol';
import rankByRendezvous from '../membership/rankByRendezvous.js';
import type { Random } from '../routing/types.js';
import {
  CONFIRM_WAIT_MS,
  NOTICE_MS,
  OLDER_MS,
  READER_KEY,
  READER_RETRY_MS,
  READERS,
  REPAIR_WAIT_MS,
  RETRY_MS,
  SILENCE_MS,
} from './constants.js';
import diffHosts, { type HostsDiff } from './diffHosts.js';
import type { HostListAction, HostListEvent, HostListState, HostListStep, HostListVersion } from './types.js';

type ReadList = Extract<HostListEvent, { type: 'read' }>['list'];

const NO_CHANGE: HostsDiff = { changed: [], removed: [] };

/** One event in progress. */
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

  /** The revision in use is what the platform or a reader has. */
  confirm(): void {
    this.set({ confirmedMs: this.nowMs, repairMs: undefined, olderSinceMs: undefined });
  }

  use(known: HostListVersion): void {
    this.set({ known });
    this.confirm();
    this.actions.push({ type: 'changed', hosts: [...known.hosts.values()] });
  }

  /** Sends a change to the failure domain. */
  tell(before: number, diff: HostsDiff): void {
    const { neighbours } = this.state;
    this.set({ nextNoticeMs: this.nowMs + CONFIRM_WAIT_MS });
    if (neighbours.length > 0 && diff.changed.length + diff.removed.length > 0) {
      this.actions.push({ type: 'tell', to: neighbours, notice: this.describe(before, diff) });
    }
  }

  /** Sends the revision alone. */
  announce(): void {
    const { known } = this.state;
    this.set({ nextNoticeMs: this.nowMs + NOTICE_MS });
    if (known !== undefined) {
      this.actions.push({ type: 'announce', notice: this.describe(known.revision, NO_CHANGE) });
    }
  }

  private describe(before: number, { changed, removed }: HostsDiff): HostsChanged {
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

  /** Plans the next read after an answered one. */
  planRead(): void {
    this.set({ reading: false, readFailures: 0, answeredMs: this.nowMs, nextReadMs: this.nowMs + this.state.readMs });
  }
}

const changePeers = (draft: Draft, hosts: readonly PeerAddress[]): void => {
  const { self, isReader, nextReadMs, readMs } = draft.state;
  const neighbours = hosts.filter(
    ({ hostId, failureDomain }) => failureDomain === self.failureDomain && hostId !== self.hostId,
  );
  const ids = [self.hostId, ...neighbours.map(({ hostId }) => hostId)];
  const becomes = rankByRendezvous(ids, READER_KEY).slice(0, READERS).includes(self.hostId);
  draft.set({ neighbours, isReader: becomes });
  if (becomes && !isReader) {
    draft.set({ nextReadMs: Math.min(nextReadMs, draft.nowMs + draft.random() * readMs) });
  }
};

const readWhenDue = (draft: Draft): void => {
  const { confirmedMs, isReader, known, nextReadMs, reading, repairMs } = draft.state;
  const silent = isReader || known === undefined || draft.nowMs - confirmedMs >= SILENCE_MS;
  const due = (silent && draft.nowMs >= nextReadMs) || (repairMs !== undefined && draft.nowMs >= repairMs);
  if (due && !reading) {
    draft.set({ reading: true, repairMs: undefined });
    draft.actions.push({ type: 'read', ...(known?.etag === undefined ? {} : { etag: known.etag }) });
  }
};

const tick = (draft: Draft): void => {
  readWhenDue(draft);
  const { answeredMs, isReader, known, nextNoticeMs, olderSinceMs } = draft.state;
  // A reader that cannot read the list stays silent, so that the others try for themselves.
  const fresh = answeredMs !== undefined && draft.nowMs - answeredMs < NOTICE_MS && olderSinceMs === undefined;
  if (isReader && fresh && known !== undefined && draft.nowMs >= nextNoticeMs) {
    draft.announce();
  }
};

const useRead = (draft: Draft, known: HostListVersion | undefined, list: ReadList): void => {
  const hosts = new Map(list.hosts.map((host) => [host.id, host]));
  const diff = diffHosts(known?.hosts ?? new Map(), hosts);
  const { revision, etag } = list;
  draft.use({ revision, hosts, ...(etag === undefined ? {} : { etag }) });
  if (draft.state.isReader) {
    draft.tell(known?.revision ?? revision, known === undefined ? NO_CHANGE : diff);
  }
};

/** Takes a list that was read; an older one is followed only when reads show nothing else for a while. */
const takeRead = (draft: Draft, list: ReadList): void => {
  const { known, olderSinceMs } = draft.state;
  draft.planRead();
  if (known === undefined || list.revision > known.revision) {
    useRead(draft, known, list);
    return;
  }
  if (list.revision === known.revision) {
    const { changed, removed } = diffHosts(known.hosts, new Map(list.hosts.map((host) => [host.id, host])));
    if (changed.length + removed.length > 0) {
      useRead(draft, known, list);
    }
    draft.set({ known: { ...(draft.state.known ?? known), ...(list.etag === undefined ? {} : { etag: list.etag }) } });
    draft.confirm();
    return;
  }
  if (olderSinceMs === undefined) {
    draft.set({ olderSinceMs: draft.nowMs });
  } else if (draft.nowMs - olderSinceMs >= OLDER_MS) {
    draft.actions.push({ type: 'went-back', known: known.revision, offered: list.revision });
    useRead(draft, known, list);
  }
};

const failRead = (draft: Draft): void => {
  const { isReader, readMs } = draft.state;
  const readFailures = draft.state.readFailures + 1;
  const limitMs = isReader || draft.state.known === undefined ? READER_RETRY_MS : RETRY_MS;
  const baseMs = isReader ? readMs : SILENCE_MS;
  const delayMs = Math.min(limitMs, baseMs * 2 ** (readFailures - 1));
  draft.set({ reading: false, readFailures, nextReadMs: draft.nowMs + delayMs * (0.5 + draft.random() / 2) });
};

const applyNotice = (known: HostListVersion, { changed, removed, revision, etag }: HostsChanged): HostListVersion => {
  const hosts = new Map<string, ListedHost>(known.hosts);
  removed.forEach((id) => hosts.delete(id));
  changed.forEach((host) => hosts.set(host.id, host));
  return { revision, hosts, ...(etag === undefined ? {} : { etag }) };
};

/** Applies a change to the revision in use; a change to another revision is a gap, which a read repairs. */
const hear = (draft: Draft, notice: HostsChanged): void => {
  const { isReader, known, nextNoticeMs, repairMs } = draft.state;
  if (known === undefined) {
    return;
  }
  if (notice.revision === known.revision) {
    draft.confirm();
  } else if (notice.before === known.revision) {
    draft.use(applyNotice(known, notice));
    if (isReader) {
      draft.set({ nextNoticeMs: Math.min(nextNoticeMs, draft.nowMs + CONFIRM_WAIT_MS) });
    }
  } else if (notice.revision > known.revision) {
    draft.set({ repairMs: repairMs ?? draft.nowMs + draft.random() * REPAIR_WAIT_MS });
  }
};

/**
 * Advances the host list of one host by one event. The two readers of a failure domain read it every second and pass
 * changes on; other hosts read it only after a gap, or when no reader confirms their revision.
 *
 * @param state - host list
 * @param event - what happened
 * @param nowMs - monotonic time
 * @param random - source of random numbers
 * @returns the new state and what the interpreter has to do
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
      changePeers(draft, event.hosts);
      break;
    case 'read':
      takeRead(draft, event.list);
      break;
    case 'read-unchanged':
      draft.planRead();
      draft.confirm();
      break;
    case 'read-failed':
      failRead(draft);
      break;
    case 'heard':
      hear(draft, event.notice);
      break;
    default:
      exhaustive(event);
  }
  return { state: draft.state, actions: draft.actions };
}
