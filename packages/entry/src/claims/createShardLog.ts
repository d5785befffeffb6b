import type { Clock } from '@bergamotcove/clock';
import {
  advanceShard,
  createShardState,
  findRecord,
  type ShardAction,
  type ShardEvent,
  type ShardLimits,
  type ShardState,
} from '@bergamotcove/decide';
import { exhaustive } from '@bergamotcove/errors';
import type { ClaimOp, ClaimOpResult, ClaimRecord } from '@bergamotcove/protocol';
import type { CommitQueue } from './createCommitQueue.js';
import type { ShardStore } from './createShardStore.js';

/** A submitted operation. */
export interface Submission {
  readonly result: Promise<ClaimOpResult>;
  /** Stops waiting for the result. Returns whether the operation may still take effect. */
  abandon(): boolean;
}

/** Local copy of one shard log. */
export interface ShardLog {
  submit(op: ClaimOp): Submission;
  /** Reads the log again. Never rejects; stays pending during a store outage. */
  refresh(): Promise<void>;
  find(keyHash: string): ClaimRecord | undefined;
  /** Whether the log has been read at least once. */
  isLoaded(): boolean;
  /** Whether the last call to the store failed. */
  isFailing(): boolean;
  close(): void;
}

/** Options of {@link createShardLog}. */
export interface ShardLogOptions {
  readonly clock: Clock;
  readonly store: ShardStore;
  readonly commits: CommitQueue;
  /** Unique per process. */
  readonly processId: string;
  readonly limits?: ShardLimits;
}

/** Runs the shard reducer and performs its actions. */
class ReducerShardLog implements ShardLog {
  private state: ShardState;

  private readonly resultResolvers = new Map<string, (result: ClaimOpResult) => void>();

  private readonly readResolvers = new Map<string, () => void>();

  private nextId = 1;

  private loaded = false;

  private closed = false;

  constructor(private readonly options: ShardLogOptions) {
    this.state = createShardState();
  }

  submit(op: ClaimOp): Submission {
    const opId = this.takeId();
    const result = new Promise<ClaimOpResult>((resolve) => {
      this.resultResolvers.set(opId, resolve);
    });
    this.handle({ type: 'submitted', opId, op });
    return { result, abandon: () => this.abandon(opId) };
  }

  refresh(): Promise<void> {
    const readId = this.takeId();
    const done = new Promise<void>((resolve) => {
      this.readResolvers.set(readId, resolve);
    });
    this.handle({ type: 'refresh-requested', readId });
    return done;
  }

  find(keyHash: string): ClaimRecord | undefined {
    return findRecord(this.state, keyHash);
  }

  isLoaded(): boolean {
    return this.loaded;
  }

  isFailing(): boolean {
    return this.state.failures > 0;
  }

  close(): void {
    this.closed = true;
  }

  private takeId(): string {
    this.nextId += 1;
    return String(this.nextId - 1);
  }

  private abandon(opId: string): boolean {
    this.resultResolvers.delete(opId);
    const untried = this.state.pending.some((pending) => pending.opId === opId && !pending.tried);
    this.handle({ type: 'abandoned', opId });
    return !untried;
  }

  private handle(event: ShardEvent): void {
    if (this.closed) {
      return;
    }
    const { clock, processId, limits } = this.options;
    const options = { ...limits, hostId: processId, wallMs: clock.wallMs() };
    const step = advanceShard(this.state, event, clock.monotonicMs(), options);
    this.state = step.state;
    this.loaded = this.loaded || event.type === 'loaded';
    step.actions.forEach((action) => this.perform(action));
  }

  private perform(action: ShardAction): void {
    const { clock, commits, store } = this.options;
    switch (action.type) {
      case 'load':
        this.handleCompletion(
          store.load(action).then((content): ShardEvent => ({ type: 'loaded', ...content })),
          'load-failed',
        );
        break;
      case 'append':
        this.handleCompletion(
          store.append(action).then((succeeded): ShardEvent => ({ type: 'append-decided', succeeded })),
          'append-lost',
        );
        break;
      case 'compact':
        this.handleCompletion(
          store.compact(action).then((decided): ShardEvent => ({ type: 'compact-decided', ...decided })),
          'compact-lost',
        );
        break;
      case 'commit-wanted':
        commits.requestCommit(() => this.handle({ type: 'commit-due' }));
        break;
      case 'settle':
        this.settle(action.opId, action.result);
        break;
      case 'refreshed':
        this.readResolvers.get(action.readId)?.();
        this.readResolvers.delete(action.readId);
        break;
      case 'wake':
        clock.schedule(action.delayMs, () => this.handle({ type: 'woken' }));
        break;
      default:
        exhaustive(action);
    }
  }

  private handleCompletion(call: Promise<ShardEvent>, failure: 'load-failed' | 'append-lost' | 'compact-lost'): void {
    call.then(
      (event) => this.handle(event),
      () => this.handle({ type: failure }),
    );
  }

  private settle(opId: string, result: ClaimOpResult): void {
    this.resultResolvers.get(opId)?.(result);
    this.resultResolvers.delete(opId);
  }
}

/**
 * Creates the local copy of one shard log. It reads the log on first use.
 *
 * @param options - clock, store access of the shard and id of this process
 * @returns the log
 */
export default function createShardLog(options: ShardLogOptions): ShardLog {
  return new ReducerShardLog(options);
}
