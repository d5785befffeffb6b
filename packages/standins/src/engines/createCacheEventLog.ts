import type { Clock } from '@bergamotcove/clock';
import type { CacheChange } from './createPrefixCache.js';

/** A cache event as the engine reports it. */
export interface CacheEvent {
  readonly seq: number;
  readonly type: CacheChange['type'];
  readonly block: string;
}

/** Cache events that are reported with a delay and with gaps. */
export interface CacheEventLog {
  record(change: CacheChange): void;
  /** Events after the sequence number that are at least `lagMs` old, and the last sequence number among them. */
  since(seq: number): { readonly events: readonly CacheEvent[]; readonly lastSeq: number };
}

/** Options of {@link createCacheEventLog}. */
export interface CacheEventLogOptions {
  readonly clock: Clock;
  readonly lagMs: number;
  /** Every n-th event is never reported; 0 reports all. */
  readonly dropEvery: number;
}

const MAX_EVENTS = 10_000;

/**
 * Creates an empty log of cache events.
 *
 * @param options - clock, delay of the reports, interval of dropped events
 * @returns the log; a dropped event leaves a gap in the sequence numbers
 */
export default function createCacheEventLog(options: CacheEventLogOptions): CacheEventLog {
  const log: { readonly event: CacheEvent; readonly atMs: number }[] = [];
  let lastSeq = 0;
  return {
    record: (change) => {
      lastSeq += 1;
      if (options.dropEvery > 0 && lastSeq % options.dropEvery === 0) {
        return;
      }
      log.push({ event: { seq: lastSeq, ...change }, atMs: options.clock.monotonicMs() });
      if (log.length > MAX_EVENTS) {
        log.splice(0, MAX_EVENTS / 2);
      }
    },
    since: (seq) => {
      const visibleBeforeMs = options.clock.monotonicMs() - options.lagMs;
      const events = log
        .filter(({ event, atMs }) => event.seq > seq && atMs <= visibleBeforeMs)
        .map(({ event }) => event);
      return { events, lastSeq: events.at(-1)?.seq ?? seq };
    },
  };
}
