import type { ClaimOp, ClaimOpResult, LogEntry } from '@bergamotcove/protocol';
import advanceShard from '../advanceShard.js';
import createShardState from '../createShardState.js';
import findRecord from '../findRecord.js';
import type { Segment, ShardAction, ShardContent, ShardEvent, ShardLimits, ShardState } from '../types.js';

type StoreAction = Extract<ShardAction, { type: 'load' | 'append' | 'compact' }>;

/** How a store call goes: normally, without effect, with a lost reply, or with an effect that comes after the loss. */
export type CallFate = 'answered' | 'not-arrived' | 'reply-lost' | 'late-effect';

export interface SimulatedHost {
  readonly hostId: string;
  state: ShardState;
  call: StoreAction | undefined;
  wakes: number;
  /** A turn to commit that was asked for. */
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

/** What a host believes about a key. */
export const readStatus = (host: SimulatedHost, keyHash: string): string => {
  const record = findRecord(host.state, keyHash);
  return record === undefined ? 'free' : `${record.claimId}:${record.status.type}`;
};

const EMPTY: ShardContent = { records: new Map(), runs: [], segments: [], nextSegment: 1 };

/** A store that holds one shard, and hosts that use it; every call and timer runs only when a test says so. */
export class ShardSimulation {
  readonly hosts: readonly SimulatedHost[];

  private readonly log = new Map<number, LogEntry>();

  private snapshot = { revision: 0, throughSeq: 0, ...EMPTY };

  private readonly segments = new Map<number, Segment>();

  private readonly late: StoreAction[] = [];

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

  /** Lets wall time pass for all hosts. */
  pass(durationMs: number): void {
    this.wallMs += durationMs;
  }

  /** Segments that the snapshot names. */
  placedSegments(): readonly Segment[] {
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

  /** Lets the host's store call happen. */
  runCall(host: SimulatedHost, fate: CallFate): void {
    const { call } = host;
    if (call === undefined) {
      return;
    }
    Object.assign(host, { call: undefined });
    const answer = fate === 'answered' || fate === 'reply-lost' ? this.execute(call) : undefined;
    if (fate === 'late-effect') {
      this.late.push(call);
    }
    this.send(host, answer !== undefined && fate === 'answered' ? answer : { type: FAILURES[call.type] });
  }

  /** A call that was given up reaches the store only now. */
  runLate(): void {
    const call = this.late.shift();
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

  giveTurn(host: SimulatedHost): void {
    if (host.turn) {
      Object.assign(host, { turn: false });
      this.send(host, { type: 'commit-due' });
    }
  }

  /** Runs calls and timers until all hosts are idle, with a store that answers. */
  settle(): void {
    for (let round = 0; round < 200; round += 1) {
      this.runLate();
      this.hosts.forEach((host) => {
        this.runCall(host, 'answered');
        this.wake(host);
        this.giveTurn(host);
      });
    }
  }

  private execute(call: StoreAction): ShardEvent {
    switch (call.type) {
      case 'load':
        return this.load(call);
      case 'append': {
        const free = !this.log.has(call.seq) && String(this.snapshot.revision) === call.snapshotRevision;
        if (free) {
          this.log.set(call.seq, call.entry);
        }
        return { type: 'append-decided', succeeded: free };
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
    const same = call.knownRevision === String(revision);
    const fromSeq = same ? call.fromSeq : throughSeq + 1;
    const entries = [...this.log]
      .filter(([seq]) => seq >= fromSeq)
      .sort(([a], [b]) => a - b)
      .map(([seq, entry]) => ({ seq, entry }));
    if (same) {
      return { type: 'loaded', entries };
    }
    const snapshot = { ...this.snapshot, revision: String(revision) };
    const unknown = this.storedSegments().filter(({ number }) => !call.knownSegments.includes(number));
    return { type: 'loaded', entries, segments: unknown, snapshot };
  }
}
