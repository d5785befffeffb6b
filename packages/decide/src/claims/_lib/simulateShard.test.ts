import type { ClaimOp, ClaimOpResult, LogEntry } from '@bergamotcove/protocol';
import advanceShard from '../advanceShard.js';
import createShardState from '../createShardState.js';
import findRecord from '../findRecord.js';
import type { Segment, ShardAction, ShardContent, ShardEvent, ShardLimits, ShardState } from '../types.js';

type StoreAction = Extract<ShardAction, { type: 'load' | 'append' | 'compact' }>;

/** Fate of a store call: answered, not executed, executed with a lost reply, or executed after its caller gave up. */
export type CallFate = 'answered' | 'not-arrived' | 'reply-lost' | 'late-effect';

export interface SimulatedHost {
  readonly hostId: string;
  state: ShardState;
  call: StoreAction | undefined;
  wakes: number;
  /** Whether the host has requested a turn to commit. */
  turn: boolean;
  readonly results: Map<string, ClaimOpResult>;
}

const FAILURES = { load: 'load-failed', append: 'append-lost', compact: 'compact-lost' } as const;

const perform = (host: SimulatedHost, action: ShardAction): void => {
  switch (action.type) {
    case 'settle':
      host.results.set(action.opId, action.result);
      break;
    case 'wake':
      Object.assign(host, { wakes: host.wakes + 1 });
      break;
    case 'commit-wanted':
      Object.assign(host, { turn: true });
      break;
    case 'refreshed':
      break;
    default:
      if (host.call !== undefined) {
        throw new Error('two store calls in flight for one shard');
      }
      Object.assign(host, { call: action });
  }
};

/** Returns the state of a key in the view of a host. */
export const readStatus = (host: SimulatedHost, keyHash: string): string => {
  const record = findRecord(host.state, keyHash);
  return record === undefined ? 'free' : `${record.claimId}:${record.status.type}`;
};

const EMPTY: ShardContent = { records: new Map(), runs: [], segments: [], nextSegment: 1 };

/** Simulates a store with one shard and the hosts that use it; calls and timers run only when a test triggers them. */
export class ShardSimulation {
  readonly hosts: readonly SimulatedHost[];

  private readonly log = new Map<number, LogEntry>();

  private snapshot = { revision: 0, throughSeq: 0, ...EMPTY };

  private readonly segments = new Map<number, Segment>();

  private readonly delayedCalls: StoreAction[] = [];

  private nowMs = 0;

  /** Wall time of all hosts. */
  wallMs = 0;

  constructor(
    hostCount: number,
    private readonly limits: ShardLimits = {},
  ) {
    this.hosts = Array.from({ length: hostCount }, (_, index) => ({
      hostId: `h${index}`,
      state: createShardState(),
      call: undefined,
      wakes: 0,
      turn: false,
      results: new Map(),
    }));
  }

  /** Advances the wall time of all hosts. */
  advanceWallTime(durationMs: number): void {
    this.wallMs += durationMs;
  }

  /** Segments that the snapshot lists. */
  listedSegments(): readonly Segment[] {
    return this.snapshot.segments;
  }

  /** Segments that the store holds. */
  storedSegments(): readonly Segment[] {
    return [...this.segments.values()];
  }

  send(host: SimulatedHost, event: ShardEvent): void {
    this.nowMs += 1;
    const options = { hostId: host.hostId, wallMs: this.wallMs, compactEntries: 3, ...this.limits };
    const step = advanceShard(host.state, event, this.nowMs, options);
    Object.assign(host, { state: step.state });
    step.actions.forEach((action) => perform(host, action));
  }

  submit(host: SimulatedHost, opId: string, op: ClaimOp): void {
    this.send(host, { type: 'submitted', opId, op });
  }

  /** Runs the host's store call in flight, with the given fate. */
  runCall(host: SimulatedHost, fate: CallFate): void {
    const { call } = host;
    if (call === undefined) {
      return;
    }
    Object.assign(host, { call: undefined });
    const answer = fate === 'answered' || fate === 'reply-lost' ? this.execute(call) : undefined;
    if (fate === 'late-effect') {
      this.delayedCalls.push(call);
    }
    this.send(host, answer !== undefined && fate === 'answered' ? answer : { type: FAILURES[call.type] });
  }

  /** Executes the oldest call that reaches the store only after its caller gave up. */
  runDelayedCall(): void {
    const call = this.delayedCalls.shift();
    if (call !== undefined) {
      this.execute(call);
    }
  }

  wake(host: SimulatedHost): void {
    if (host.wakes > 0) {
      Object.assign(host, { wakes: host.wakes - 1 });
      this.nowMs += 1_000;
      this.send(host, { type: 'woken' });
    }
  }

  grantTurn(host: SimulatedHost): void {
    if (host.turn) {
      Object.assign(host, { turn: false });
      this.send(host, { type: 'commit-due' });
    }
  }

  /** Runs calls and timers until all hosts are idle, with a store that answers. */
  settle(): void {
    for (let round = 0; round < 200; round += 1) {
      this.runDelayedCall();
      this.hosts.forEach((host) => {
        this.runCall(host, 'answered');
        this.wake(host);
        this.grantTurn(host);
      });
    }
  }

  private execute(call: StoreAction): ShardEvent {
    switch (call.type) {
      case 'load':
        return this.load(call);
      case 'append': {
        const isFree = !this.log.has(call.seq) && String(this.snapshot.revision) === call.snapshotRevision;
        if (isFree) {
          this.log.set(call.seq, call.entry);
        }
        return { type: 'append-decided', succeeded: isFree };
      }
      default: {
        const succeeded = String(this.snapshot.revision) === call.snapshotRevision;
        if (succeeded) {
          this.applyCompaction(call);
        }
        return { type: 'compact-decided', succeeded, revision: String(this.snapshot.revision) };
      }
    }
  }

  private applyCompaction(call: Extract<StoreAction, { type: 'compact' }>): void {
    const { throughSeq, compacted, dropped } = call;
    const { sealed, ...content } = compacted;
    this.snapshot = { revision: this.snapshot.revision + 1, throughSeq, ...content };
    [...this.log.keys()].filter((seq) => seq <= throughSeq).forEach((seq) => this.log.delete(seq));
    if (sealed !== undefined) {
      if (this.segments.has(sealed.number)) {
        throw new Error(`segment ${sealed.number} was written twice`);
      }
      this.segments.set(sealed.number, sealed);
    }
    dropped.forEach((number) => this.segments.delete(number));
  }

  private load(call: Extract<StoreAction, { type: 'load' }>): ShardEvent {
    const { revision, throughSeq } = this.snapshot;
    const isKnown = call.knownRevision === String(revision);
    const fromSeq = isKnown ? call.fromSeq : throughSeq + 1;
    const entries = [...this.log]
      .filter(([seq]) => seq >= fromSeq)
      .sort(([a], [b]) => a - b)
      .map(([seq, entry]) => ({ seq, entry }));
    if (isKnown) {
      return { type: 'loaded', entries };
    }
    const snapshot = { ...this.snapshot, revision: String(revision) };
    const unknown = this.storedSegments().filter(({ number }) => !call.knownSegments.includes(number));
    return { type: 'loaded', entries, segments: unknown, snapshot };
  }
}
