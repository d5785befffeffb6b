import type { Clock } from '@bergamotcove/clock';
import type { LoadSample } from './createLoadReport.js';

/** Load report as backend servers publish it at `GET /load`. */
export interface PublishedLoad {
  readonly running: number;
  readonly queued: number;
  /** Present speed; 0 when the server does not measure it. */
  readonly tokensPerSecond: number;
  /** Wall time of the sample. */
  readonly reportedAtMs: number;
}

/**
 * Formats a load sample for `GET /load`.
 *
 * @param sample - the sample, on the monotonic clock
 * @param clock - clock of the server
 * @param tokensPerSecond - speed of one running request
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
