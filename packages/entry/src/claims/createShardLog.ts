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

/** An operation on its way into the log. */
export interface Submission {
  readonly result: Promise<ClaimOpResult>;
  /** Stops waiting. Returns whether the operation may still take effect. */
  abandon(): boolean;
}

/** One shard log as this host knows it. */
export interface ShardLog {
  submit(op: ClaimOp): Submission;
  /** Resolves after the log was read anew; never rejects, and stays pending during a store outage. */
  refresh(): Promise<void>;
  find(keyHash: string): ClaimRecord | undefined;
  /** Whether the log was read at least once. */
  isKnown(): boolean;
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

/** Interpreter of the shard reducer. */
class Interpreter implements ShardLog {
  private state: ShardState;

  private readonly waiting = new Map<string, (result: ClaimOpResult) => void>();

  private readonly reads = new Map<string, () => void>();

  private nextId = 1;

  private known = false;

  private closed = false;

  constructor(private readonly options: ShardLogOptions) {
    this.state = createShardState();
  }

  submit(op: ClaimOp): Submission {
    const opId = this.takeId();
    const result = new Promise<ClaimOpResult>((resolve) => {
      this.waiting.set(opId, resolve);
    });
    this.handle({ type: 'submitted', opId, op });
    return { result, abandon: () => this.abandon(opId) };
  }

  refresh(): Promise<void> {
    const readId = this.takeId();
    const done = new Promise<void>((resolve) => {
      this.reads.set(readId, resolve);
    });
    this.handle({ type: 'refresh-requested', readId });
    return done;
  }

  find(keyHash: string): ClaimRecord | undefined {
    return findRecord(this.state, keyHash);
  }

  isKnown(): boolean {
    return this.known;
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
    this.waiting.delete(opId);
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
    this.known = this.known || event.type === 'loaded';
    step.actions.forEach((action) => this.perform(action));
  }

  private perform(action: ShardAction): void {
    const { clock, commits, store } = this.options;
    switch (action.type) {
      case 'load':
        this.follow(
          store.load(action).then((content): ShardEvent => ({ type: 'loaded', ...content })),
          'load-failed',
        );
        break;
      case 'append':
        this.follow(
          store.append(action).then((succeeded): ShardEvent => ({ type: 'append-decided', succeeded })),
          'append-lost',
        );
        break;
      case 'compact':
        this.follow(
          store.compact(action).then((decided): ShardEvent => ({ type: 'compact-decided', ...decided })),
          'compact-lost',
        );
        break;
      case 'commit-wanted':
        commits.request(() => this.handle({ type: 'commit-due' }));
        break;
      case 'settle':
        this.settle(action.opId, action.result);
        break;
      case 'refreshed':
        this.reads.get(action.readId)?.();
        this.reads.delete(action.readId);
        break;
      case 'wake':
        clock.schedule(action.delayMs, () => this.handle({ type: 'woken' }));
        break;
      default:
        exhaustive(action);
    }
  }

  private follow(call: Promise<ShardEvent>, failure: 'load-failed' | 'append-lost' | 'compact-lost'): void {
    call.then(
      (event) => this.handle(event),
      () => this.handle({ type: failure }),
    );
  }

  private settle(opId: string, result: ClaimOpResult): void {
    this.waiting.get(opId)?.(result);
    this.waiting.delete(opId);
  }
}

/**
 * Creates the interpreter of one shard log. It reads the log when it is first needed.
 *
 * @param options - clock, store side of the shard and id of this process
 * @returns the log
 */
export default function createShardLog(options: ShardLogOptions): ShardLog {
  return new Interpreter(options);
}
