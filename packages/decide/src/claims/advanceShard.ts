import { exhaustive } from '@bergamotcove/errors';
import appendPending from './_lib/appendPending.js';
import applyEntry from './_lib/applyEntry.js';
import compactRecords from './compactRecords.js';
import { COMPACT_BYTES, COMPACT_ENTRIES, RETRY_MAX_MS, RETRY_MIN_MS } from './constants.js';
import type { ShardEvent, ShardOptions, ShardState, ShardStep } from './types.js';

const unchanged = (state: ShardState): ShardStep => ({ state, actions: [] });

/** Reads the log; a shard that was read before reads only the entries after the known ones. */
const startLoad = (state: ShardState): ShardStep => ({
  state: { ...state, phase: { type: 'loading' } },
  actions: [
    {
      type: 'load',
      fromSeq: state.nextSeq,
      knownRevision: state.nextSeq === 1 && state.snapshotRevision === '0' ? undefined : state.snapshotRevision,
    },
  ],
});

const isWanted = (state: ShardState): boolean => state.pending.length > 0 || state.refreshes.length > 0;

const pause = (state: ShardState, phase: ShardState['phase']): ShardStep => {
  const delayMs = Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** state.failures);
  const paused: ShardState = { ...state, phase, failures: state.failures + 1, wakeArmed: true };
  return { state: paused, actions: [{ type: 'wake', delayMs }] };
};

const continueReady = (state: ShardState, nowMs: number, options: ShardOptions): ShardStep => {
  if (state.refreshes.length > 0) {
    return startLoad(state);
  }
  const limit = options.compactEntries ?? COMPACT_ENTRIES;
  if (state.full || (state.logEntries < limit && state.logBytes < COMPACT_BYTES)) {
    return appendPending(state, nowMs, options);
  }
  const records = compactRecords(new Map([...state.base, ...state.recent]), options);
  if (records === undefined) {
    return appendPending({ ...state, full: true }, nowMs, options);
  }
  const throughSeq = state.nextSeq - 1;
  return {
    state: { ...state, phase: { type: 'compacting', records, throughSeq } },
    actions: [{ type: 'compact', snapshotRevision: state.snapshotRevision, throughSeq, records }],
  };
};

const takeLoaded = (state: ShardState, event: Extract<ShardEvent, { type: 'loaded' }>): ShardState | undefined => {
  const { snapshot } = event;
  const start: ShardState =
    snapshot === undefined
      ? state
      : {
          ...state,
          snapshotRevision: snapshot.revision,
          nextSeq: snapshot.throughSeq + 1,
          base: snapshot.records,
          recent: new Map(),
          logEntries: 0,
          logBytes: 0,
          full: false,
        };
  return event.entries.reduce<ShardState | undefined>(
    (next, { seq, entry }) => (next?.nextSeq === seq ? applyEntry(next, entry) : undefined),
    start,
  );
};

const decideLoad = (
  state: ShardState,
  event: Extract<ShardEvent, { type: 'loaded' }>,
  nowMs: number,
  options: ShardOptions,
): ShardStep => {
  if (state.phase.type !== 'loading') {
    return unchanged(state);
  }
  const loaded = takeLoaded(state, event);
  if (loaded === undefined) {
    // The log was compacted between the reads, so that entries are missing from the answer.
    return pause({ ...state, nextSeq: 1, snapshotRevision: '0' }, { type: 'load-paused' });
  }
  return appendPending({ ...loaded, failures: 0 }, nowMs, options);
};

const decideAppend = (state: ShardState, succeeded: boolean, nowMs: number, options: ShardOptions): ShardStep => {
  if (state.phase.type !== 'appending') {
    return unchanged(state);
  }
  const { entry, ops } = state.phase;
  const pending = [...ops, ...state.pending];
  // A refused append means that another host wrote first, or that an earlier try of this entry took effect.
  return succeeded
    ? continueReady(applyEntry({ ...state, pending, failures: 0 }, entry), nowMs, options)
    : startLoad({ ...state, pending });
};

const loseAppend = (state: ShardState): ShardStep =>
  state.phase.type === 'appending' ? pause(state, { ...state.phase, type: 'append-paused' }) : unchanged(state);

const decideCompaction = (
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
  const compacted: ShardState = {
    ...state,
    snapshotRevision: event.revision,
    base: state.phase.records,
    recent: new Map(),
    logEntries: 0,
    logBytes: 0,
  };
  return appendPending({ ...compacted, failures: 0 }, nowMs, options);
};

const wake = (state: ShardState, nowMs: number, options: ShardOptions): ShardStep => {
  const awake = { ...state, wakeArmed: false };
  switch (state.phase.type) {
    case 'load-paused':
      return isWanted(state) ? startLoad(awake) : unchanged({ ...awake, phase: { type: 'cold' } });
    case 'append-paused': {
      const { entry, ops } = state.phase;
      return {
        state: { ...awake, phase: { type: 'appending', entry, ops } },
        actions: [{ type: 'append', seq: state.nextSeq, snapshotRevision: state.snapshotRevision, entry }],
      };
    }
    case 'ready':
      return continueReady(awake, nowMs, options);
    default:
      return unchanged(awake);
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
 * Advances one shard log by one event. Ownership of a key follows only from the order of entries in the log, and an
 * entry exists only if its sequence number was free and the snapshot was the known one. No decision depends on a
 * lease or on who is believed to be live.
 *
 * @param state - state before the event
 * @param event - what happened
 * @param nowMs - monotonic time; only spaces commits
 * @param options - this process and the wall time
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
      return decideLoad(state, event, nowMs, options);
    case 'load-failed':
      return state.phase.type === 'loading' ? pause(state, { type: 'load-paused' }) : unchanged(state);
    case 'append-decided':
      return decideAppend(state, event.succeeded, nowMs, options);
    case 'append-lost':
      return loseAppend(state);
    case 'compact-decided':
      return decideCompaction(state, event, nowMs, options);
    case 'compact-lost':
      // The reads that follow tell whether the compaction took effect.
      return state.phase.type === 'compacting' ? pause(state, { type: 'load-paused' }) : unchanged(state);
    case 'woken':
      return wake(state, nowMs, options);
    default:
      return exhaustive(event);
  }
}
