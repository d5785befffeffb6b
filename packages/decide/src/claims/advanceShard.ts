import { exhaustive } from '@bergamotcove/errors';
import appendPending, { commitPending, requestCommit } from './_lib/appendPending.js';
import applyEntry from './_lib/applyEntry.js';
import { RETRY_MAX_MS, RETRY_MIN_MS } from './constants.js';
import type {
  Segment,
  SegmentMetadata,
  ShardAction,
  ShardEvent,
  ShardOptions,
  ShardState,
  ShardStep,
} from './types.js';

type Loaded = Extract<ShardEvent, { type: 'loaded' }>;

const unchanged = (state: ShardState): ShardStep => ({ state, actions: [] });

/** Starts to read the log; a shard that was read before needs only the entries after the known ones. */
const startLoad = (state: ShardState): ShardStep => ({
  state: { ...state, phase: { type: 'loading', reads: state.refreshes }, refreshes: [] },
  actions: [
    {
      type: 'load',
      fromSeq: state.nextSeq,
      knownRevision: state.nextSeq === 1 && state.snapshotRevision === '0' ? undefined : state.snapshotRevision,
      knownSegments: state.segments.map(({ number }) => number),
    },
  ],
});

const hasWork = (state: ShardState): boolean => state.pending.length > 0 || state.refreshes.length > 0;

const pause = (state: ShardState, phase: ShardState['phase']): ShardStep => {
  const delayMs = Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** state.failures);
  const paused: ShardState = { ...state, phase, failures: state.failures + 1 };
  return { state: paused, actions: [{ type: 'wake', delayMs }] };
};

/** Backs off after a failed read of the log; the reads that waited for it wait for the next one. */
const pauseLoad = (state: ShardState): ShardStep => {
  const reads = state.phase.type === 'loading' ? state.phase.reads : [];
  return pause({ ...state, refreshes: [...reads, ...state.refreshes] }, { type: 'load-paused' });
};

const continueReady = (state: ShardState, nowMs: number, options: ShardOptions): ShardStep =>
  state.refreshes.length > 0 ? startLoad(state) : appendPending(state, nowMs, options);

/** Returns the segments that a snapshot lists, or undefined when one of them was deleted between the reads. */
const findListedSegments = (
  listed: readonly SegmentMetadata[],
  segments: readonly Segment[],
): readonly Segment[] | undefined => {
  const byNumber = new Map(segments.map((segment) => [segment.number, segment]));
  const found = listed.flatMap(({ number }) => byNumber.get(number) ?? []);
  return found.length === listed.length ? found : undefined;
};

const applySnapshot = (state: ShardState, { snapshot, segments = [] }: Loaded): ShardState | undefined => {
  if (snapshot === undefined) {
    return state;
  }
  const found = findListedSegments(snapshot.segments, [...state.segments, ...segments]);
  return found === undefined
    ? undefined
    : {
        ...state,
        snapshotRevision: snapshot.revision,
        nextSeq: snapshot.throughSeq + 1,
        base: snapshot.records,
        recent: new Map(),
        runs: snapshot.runs,
        segments: found,
        nextSegment: snapshot.nextSegment,
        logEntries: 0,
        logBytes: 0,
        full: false,
      };
};

const applyLoaded = (state: ShardState, event: Loaded): ShardState | undefined =>
  event.entries.reduce<ShardState | undefined>(
    (next, { seq, entry }) => (next?.nextSeq === seq ? applyEntry(next, entry) : undefined),
    applySnapshot(state, event),
  );

const finishLoad = (state: ShardState, event: Loaded, nowMs: number, options: ShardOptions): ShardStep => {
  if (state.phase.type !== 'loading') {
    return unchanged(state);
  }
  const loaded = applyLoaded(state, event);
  if (loaded === undefined) {
    // The shard was compacted between the reads, so that entries or segments are missing from the reply.
    return pauseLoad({ ...state, nextSeq: 1, snapshotRevision: '0' });
  }
  const served = state.phase.reads.map((readId): ShardAction => ({ type: 'refreshed', readId }));
  const step = continueReady({ ...loaded, failures: 0 }, nowMs, options);
  return { state: step.state, actions: [...served, ...step.actions] };
};

const finishAppend = (state: ShardState, succeeded: boolean, nowMs: number, options: ShardOptions): ShardStep => {
  if (state.phase.type !== 'appending') {
    return unchanged(state);
  }
  const { entry, ops } = state.phase;
  const pending = [...ops, ...state.pending];
  // A failed append means that another host wrote first, or that an earlier attempt to append this entry took effect.
  return succeeded
    ? continueReady(applyEntry({ ...state, pending, failures: 0 }, entry), nowMs, options)
    : startLoad({ ...state, pending });
};

const pauseAppend = (state: ShardState): ShardStep =>
  state.phase.type === 'appending' ? pause(state, { ...state.phase, type: 'append-paused' }) : unchanged(state);

const finishCompaction = (
  state: ShardState,
  event: Extract<ShardEvent, { type: 'compact-decided' }>,
  nowMs: number,
  options: ShardOptions,
): ShardStep => {
  if (state.phase.type !== 'compacting') {
    return unchanged(state);
  }
  if (!event.succeeded) {
    return startLoad(state);
  }
  const { records, runs, segments, nextSegment } = state.phase.compacted;
  const compacted: ShardState = {
    ...state,
    snapshotRevision: event.revision,
    base: records,
    recent: new Map(),
    runs,
    segments,
    nextSegment,
    logEntries: 0,
    logBytes: 0,
    full: false,
  };
  return continueReady({ ...compacted, failures: 0 }, nowMs, options);
};

const wake = (state: ShardState): ShardStep => {
  switch (state.phase.type) {
    case 'load-paused':
      return hasWork(state) ? startLoad(state) : unchanged({ ...state, phase: { type: 'cold' } });
    case 'append-paused':
      return requestCommit(state);
    default:
      return unchanged(state);
  }
};

/** Commits when the turn of the shard has come; a shard that reads its log now requests a turn again after the read. */
const commitOnTurn = (state: ShardState, nowMs: number, options: ShardOptions): ShardStep => {
  const next = { ...state, commitWanted: false };
  switch (state.phase.type) {
    case 'append-paused': {
      const { entry, ops } = state.phase;
      return {
        state: { ...next, phase: { type: 'appending', entry, ops } },
        actions: [{ type: 'append', seq: state.nextSeq, snapshotRevision: state.snapshotRevision, entry }],
      };
    }
    case 'ready':
      return commitPending(next, nowMs, options);
    default:
      return unchanged(next);
  }
};

const start = (state: ShardState, nowMs: number, options: ShardOptions): ShardStep => {
  switch (state.phase.type) {
    case 'cold':
      return startLoad(state);
    case 'ready':
      return continueReady(state, nowMs, options);
    default:
      return unchanged(state);
  }
};

/**
 * Advances one shard log by one event. The order of the entries in the log alone decides who owns a key. An entry is
 * appended only if its sequence number is free and the snapshot has the expected revision. No decision depends on a
 * lease or on which hosts are believed to be live.
 *
 * @param state - state before the event
 * @param event - the event
 * @param nowMs - monotonic time; only used to space the attempts to compact a full shard
 * @param options - id of this process, wall time and limits
 * @returns the new state and the actions to perform, in order
 * @example
 * const step = advanceShard(state, { type: 'submitted', opId: '1', op }, clock.monotonicMs(), options);
 */
export default function advanceShard(
  state: ShardState,
  event: ShardEvent,
  nowMs: number,
  options: ShardOptions,
): ShardStep {
  switch (event.type) {
    case 'submitted':
      return start(
        { ...state, pending: [...state.pending, { opId: event.opId, op: event.op, tried: false }] },
        nowMs,
        options,
      );
    case 'abandoned':
      return unchanged({ ...state, pending: state.pending.filter(({ opId }) => opId !== event.opId) });
    case 'refresh-requested':
      return start({ ...state, refreshes: [...state.refreshes, event.readId] }, nowMs, options);
    case 'loaded':
      return finishLoad(state, event, nowMs, options);
    case 'load-failed':
      return state.phase.type === 'loading' ? pauseLoad(state) : unchanged(state);
    case 'append-decided':
      return finishAppend(state, event.succeeded, nowMs, options);
    case 'append-lost':
      return pauseAppend(state);
    case 'compact-decided':
      return finishCompaction(state, event, nowMs, options);
    case 'compact-lost':
      // The reads that follow tell whether the compaction took effect.
      return state.phase.type === 'compacting' ? pause(state, { type: 'load-paused' }) : unchanged(state);
    case 'woken':
      return wake(state);
    case 'commit-due':
      return commitOnTurn(state, nowMs, options);
    default:
      return exhaustive(event);
  }
}
