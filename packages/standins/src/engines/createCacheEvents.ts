import type { Clock } from '@bergamotcove/clock';
import type { CacheChange } from './createPrefixCache.js';

/** One cache event as the engine reports it. */
export interface CacheEvent {
  readonly seq: number;
  readonly type: CacheChange['type'];
  readonly block: string;
}

/** Cache events that arrive late and with gaps. */
export interface CacheEvents {
  note(change: CacheChange): void;
  /** Events after the sequence number that are old enough to be visible. */
  since(seq: number): { readonly events: readonly CacheEvent[]; readonly lastSeq: number };
}

/** Options of {@link createCacheEvents}. */
export interface CacheEventOptions {
  readonly clock: Clock;
  readonly lagMs: number;
  /** One event in this many is never reported; none when zero. */
  readonly loseEvery: number;
}

const KEPT_EVENTS = 10_000;

/**
 * Creates the log of cache events.
 *
 * @param options - delay and gaps
 * @returns the log; a lost event leaves a gap in the sequence numbers
 */
export default function createCacheEvents(options: CacheEventOptions): CacheEvents {
  const log: { readonly event: CacheEvent; readonly atMs: number }[] = [];
  let lastSeq = 0;
  return {
    note: (change) => {
      lastSeq += 1;
      if (options.loseEvery > 0 && lastSeq % options.loseEvery === 0) {
        return;
      }
      log.push({ event: { seq: lastSeq, ...change }, atMs: options.clock.monotonicMs() });
      if (log.length > KEPT_EVENTS) {
        log.splice(0, KEPT_EVENTS / 2);
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
