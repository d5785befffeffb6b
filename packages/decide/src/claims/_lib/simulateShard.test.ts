import type { ClaimOp, ClaimOpResult, LogEntry } from '@bergamotcove/protocol';
import advanceShard from '../advanceShard.js';
import createShardState from '../createShardState.js';
import findRecord from '../findRecord.js';
import type { ClaimRecords, ShardAction, ShardEvent, ShardState } from '../types.js';

type StoreAction = Extract<ShardAction, { type: 'load' | 'append' | 'compact' }>;

/** How a store call goes: normally, without effect, with a lost reply, or with an effect that comes after the loss. */
export type CallFate = 'answered' | 'not-arrived' | 'reply-lost' | 'late-effect';

export interface SimulatedHost {
  readonly hostId: string;
  state: ShardState;
  call: StoreAction | undefined;
  wakes: number;
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

/** A store that holds one shard, and hosts that use it; every call and timer runs only when a test says so. */
export class ShardSimulation {
  readonly hosts: readonly SimulatedHost[];

  private readonly log = new Map<number, LogEntry>();

  private snapshot = { revision: 0, throughSeq: 0, records: new Map() as ClaimRecords };

  private readonly late: StoreAction[] = [];

  private nowMs = 0;

  constructor(hostCount: number) {
    this.hosts = Array.from({ length: hostCount }, (_, index) => ({
      hostId: `h${index}`,
      state: createShardState(0),
      call: undefined,
      wakes: 0,
      results: new Map(),
    }));
  }

  send(host: SimulatedHost, event: ShardEvent): void {
    this.nowMs += 1;
    const step = advanceShard(host.state, event, this.nowMs, { hostId: host.hostId, wallMs: 0, compactEntries: 3 });
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

  /** Runs calls and timers until all hosts are idle, with a store that answers. */
  settle(): void {
    for (let round = 0; round < 200; round += 1) {
      this.runLate();
      this.hosts.forEach((host) => {
        this.runCall(host, 'answered');
        this.wake(host);
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
          const { throughSeq, records } = call;
          this.snapshot = { revision: this.snapshot.revision + 1, throughSeq, records };
          [...this.log.keys()].filter((seq) => seq <= throughSeq).forEach((seq) => this.log.delete(seq));
        }
        return { type: 'compact-decided', succeeded, revision: String(this.snapshot.revision) };
      }
    }
  }

  private load(call: Extract<StoreAction, { type: 'load' }>): ShardEvent {
    const { revision, throughSeq, records } = this.snapshot;
    const same = call.knownRevision === String(revision);
    const fromSeq = same ? call.fromSeq : throughSeq + 1;
    const entries = [...this.log]
      .filter(([seq]) => seq >= fromSeq)
      .sort(([a], [b]) => a - b)
      .map(([seq, entry]) => ({ seq, entry }));
    return same
      ? { type: 'loaded', entries }
      : { type: 'loaded', entries, snapshot: { revision: String(revision), throughSeq, records } };
  }
}
