import type { Clock, Timer } from '@bergamotcove/clock';
import { createStageQueue, type StageQueue } from '@bergamotcove/decide';

/** An attempt that waits for a server. */
export interface WaitingAttempt {
  readonly pool: string;
  /** Long work waits in a queue of its own, so that it does not block short work. */
  readonly long: boolean;
  /** Order in the queue; the lowest goes first. */
  readonly rank: number;
  /** Sends or gives up the attempt; returns false while it has to wait. */
  tryStart(): boolean;
}

/** Queues of the attempts that wait for a server: for each pool, one for short and one for long work. */
export interface PoolQueues {
  enqueue(attempt: WaitingAttempt): void;
  remove(attempt: WaitingAttempt): void;
  /** Starts the attempts of a pool that can start. */
  drain(pool: string): void;
  /** Starts the attempts of all pools that can start. */
  drainAll(): void;
  /** Number of short attempts that wait in all pools. */
  countShortWaiting(): number;
  /** Number of short and long attempts that wait for a server of the pool. */
  countWaiting(pool: string): number;
  close(): void;
}

/** Interval of rechecks; servers become free without a message to this host, for example when another host's attempt ends. */
const RECHECK_MS = 20;

class Queues implements PoolQueues {
  private readonly short = new Map<string, StageQueue<WaitingAttempt>>();

  private readonly long = new Map<string, StageQueue<WaitingAttempt>>();

  private timer: Timer | undefined;

  private closed = false;

  constructor(private readonly clock: Pick<Clock, 'schedule'>) {}

  enqueue(attempt: WaitingAttempt): void {
    this.queueOf(attempt).push(attempt, attempt.rank);
    this.drain(attempt.pool);
  }

  remove(attempt: WaitingAttempt): void {
    this.queueOf(attempt).remove(attempt);
  }

  drain(pool: string): void {
    Queues.drainQueue(this.short.get(pool));
    Queues.drainQueue(this.long.get(pool));
    this.scheduleRecheck();
  }

  drainAll(): void {
    new Set([...this.short.keys(), ...this.long.keys()]).forEach((pool) => this.drain(pool));
  }

  countShortWaiting(): number {
    return [...this.short.values()].reduce((sum, queue) => sum + queue.length, 0);
  }

  countWaiting(pool: string): number {
    return (this.short.get(pool)?.length ?? 0) + (this.long.get(pool)?.length ?? 0);
  }

  close(): void {
    this.closed = true;
    this.timer?.close();
  }

  private static drainQueue(queue: StageQueue<WaitingAttempt> | undefined): void {
    for (let next = queue?.peek(); next !== undefined; next = queue?.peek()) {
      // The attempt leaves the queue first, because starting it may enqueue or remove others.
      queue?.pop();
      if (!next.tryStart()) {
        queue?.push(next, next.rank);
        return;
      }
    }
  }

  private queueOf(attempt: WaitingAttempt): StageQueue<WaitingAttempt> {
    const queues = attempt.long ? this.long : this.short;
    const queue = queues.get(attempt.pool) ?? createStageQueue<WaitingAttempt>();
    queues.set(attempt.pool, queue);
    return queue;
  }

  private scheduleRecheck(): void {
    const waits = [...this.short.values(), ...this.long.values()].some((queue) => queue.length > 0);
    if (waits && !this.closed && this.timer === undefined) {
      this.timer = this.clock.schedule(RECHECK_MS, () => {
        this.timer = undefined;
        this.drainAll();
      });
    }
  }
}

/**
 * Creates the queues of this host, all of them empty.
 *
 * @param clock - clock that schedules the rechecks
 * @returns the queues; close them to stop the rechecks
 */
export default function createPoolQueues(clock: Pick<Clock, 'schedule'>): PoolQueues {
  return new Queues(clock);
}
