import type { Clock } from '@bergamotcove/clock';
import type { LoadSample } from './createLoadReport.js';

/** Load report that backend servers serve at `GET /load`. */
export interface PublishedLoad {
  readonly running: number;
  readonly queued: number;
  /** Current generation speed; 0 when the server does not measure it. */
  readonly tokensPerSecond: number;
  /** Wall-clock time of the sample. */
  readonly reportedAtMs: number;
}

/**
 * Formats a load sample for `GET /load`.
 *
 * @param sample - load sample, dated by the monotonic clock
 * @param clock - clock of the server
 * @param tokensPerSecond - generation speed of one running request
 * @returns the report
 */
export default function formatLoad(sample: LoadSample, clock: Clock, tokensPerSecond = 0): PublishedLoad {
  return {
    running: sample.running,
    queued: sample.waiting,
    tokensPerSecond: sample.running * tokensPerSecond,
    reportedAtMs: clock.wallMs() - (clock.monotonicMs() - sample.atMs),
  };
}
