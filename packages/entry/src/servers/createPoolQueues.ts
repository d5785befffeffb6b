import type { Clock, Timer } from '@bergamotcove/clock';
import { createStageQueue, type StageQueue } from '@bergamotcove/decide';

/** An attempt that waits for a server. */
export interface WaitingAttempt {
  readonly pool: string;
  /** Long work waits in a queue of its own, so that it does not block short work. */
  readonly long: boolean;
  /** Attempts that may use the same servers; one that has to wait blocks no attempts of other groups. */
  readonly group?: string;
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

/** Queues of one pool by group. */
type PoolGroups = Map<string, StageQueue<WaitingAttempt>>;

const countAll = (pools: Iterable<PoolGroups | undefined>): number =>
  [...pools].flatMap((groups) => [...(groups?.values() ?? [])]).reduce((sum, queue) => sum + queue.length, 0);

class Queues implements PoolQueues {
  private readonly short = new Map<string, PoolGroups>();

  private readonly long = new Map<string, PoolGroups>();

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
    Queues.drainGroups(this.short.get(pool));
    Queues.drainGroups(this.long.get(pool));
    this.scheduleRecheck();
  }

  drainAll(): void {
    new Set([...this.short.keys(), ...this.long.keys()]).forEach((pool) => this.drain(pool));
  }

  countShortWaiting(): number {
    return countAll(this.short.values());
  }

  countWaiting(pool: string): number {
    return countAll([this.short.get(pool), this.long.get(pool)]);
  }

  close(): void {
    this.closed = true;
    this.timer?.close();
  }

  /** Starts the first attempts of all groups, in the order of their ranks, until each group has one that has to wait. */
  private static drainGroups(groups: PoolGroups | undefined): void {
    const open = new Set(groups?.values());
    while (open.size > 0) {
      const rankOf = (queue: StageQueue<WaitingAttempt>): number => queue.peek()?.rank ?? Infinity;
      const queue = [...open].reduce((first, other) => (rankOf(other) < rankOf(first) ? other : first));
      // The attempt leaves the queue first, because starting it may enqueue or remove others.
      const next = queue.pop();
      if (next === undefined) {
        open.delete(queue);
      } else if (!next.tryStart()) {
        queue.push(next, next.rank);
        open.delete(queue);
      }
    }
  }

  private queueOf(attempt: WaitingAttempt): StageQueue<WaitingAttempt> {
    const pools = attempt.long ? this.long : this.short;
    const groups: PoolGroups = pools.get(attempt.pool) ?? new Map();
    const { group = '' } = attempt;
    const queue = groups.get(group) ?? createStageQueue<WaitingAttempt>();
    pools.set(attempt.pool, groups.set(group, queue));
    return queue;
  }

  private scheduleRecheck(): void {
    const waits = countAll([...this.short.values(), ...this.long.values()]) > 0;
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
