import { exhaustive } from '@bergamotcove/errors';
import { INITIAL_WINDOW, SPEED_SAMPLE_LIFETIME_MS, SPEED_SAMPLE_WEIGHT } from './constants.js';
import adaptWindow from './adaptWindow.js';
import type { LoadReport, ServerEventInput, ServerStats } from './types.js';

/** Statistics of a server of which nothing is known. */
export const NEW_SERVER_STATS: ServerStats = {
  outstanding: 0,
  outstandingTokens: 0,
  longOutstanding: 0,
  othersOutstanding: 0,
  slots: INITIAL_WINDOW,
  window: INITIAL_WINDOW,
  sampledAtMs: 0,
  lastSentAtMs: 0,
  failures: 0,
  unreachableUntilMs: 0,
};

const addSample = (stats: ServerStats, sampleMsPerToken: number, nowMs: number): ServerStats => {
  const fresh = nowMs - stats.sampledAtMs < SPEED_SAMPLE_LIFETIME_MS;
  const before = fresh ? stats.msPerToken : undefined;
  const msPerToken =
    before === undefined ? sampleMsPerToken : before + (sampleMsPerToken - before) * SPEED_SAMPLE_WEIGHT;
  return { ...stats, msPerToken, sampledAtMs: nowMs };
};

/** Pause after a failed connection; it doubles with each failure in a row. */
const MIN_BACKOFF_MS = 200;
const MS_PER_SECOND = 1_000;
const MAX_BACKOFF_MS = 3_200;

const countDown = (value: number, change: number): number => Math.max(0, value - change);

/** A server with a queue uses all its slots, so the report then shows their number. */
const learnSlots = (stats: ServerStats, report: LoadReport): number => {
  if (report.queued > 0) {
    return Math.max(1, report.running);
  }
  return Math.max(stats.slots, report.running);
};

/**
 * A report only makes a server faster in the view of this host, so that another host's probe brings it back here too.
 * It does not make it slower: engines in their prefill phase report few tokens.
 */
const clearSuspicion = (stats: ServerStats, report: LoadReport): ServerStats => {
  if (stats.msPerToken === undefined || report.reportedAtMs <= stats.sampledAtMs || report.tokensPerSecond <= 0) {
    return stats;
  }
  const reportedMsPerToken = (report.running * MS_PER_SECOND) / report.tokensPerSecond;
  const faster = report.running > 0 && reportedMsPerToken < stats.msPerToken;
  return faster ? addSample(stats, reportedMsPerToken, report.reportedAtMs) : stats;
};

const applyReport = (
  stats: ServerStats,
  event: Extract<ServerEventInput, { readonly type: 'reported' }>,
): ServerStats => {
  const { report, ownAtReport, hosts } = event;
  const slots = learnSlots(stats, report);
  return {
    ...clearSuspicion(stats, report),
    othersOutstanding: countDown(report.running + report.queued, ownAtReport),
    reportedAtMs: report.reportedAtMs,
    slots,
    window: adaptWindow(report, { ownAtReport, slots, hosts }),
  };
};

/**
 * Updates the statistics of a server.
 *
 * @param stats - statistics before
 * @param event - what happened
 * @param nowMs - monotonic time
 * @returns statistics after
 * @example
 * updateServerStats(stats, { type: 'sent', tokens: 64, long: false }, nowMs);
 */
export default function updateServerStats(stats: ServerStats, event: ServerEventInput, nowMs: number): ServerStats {
  switch (event.type) {
    case 'sent':
      return {
        ...stats,
        outstanding: stats.outstanding + 1,
        outstandingTokens: stats.outstandingTokens + event.tokens,
        longOutstanding: stats.longOutstanding + (event.long ? 1 : 0),
        lastSentAtMs: nowMs,
      };
    case 'progress':
      // Without a token yet, the elapsed time is a lower bound of the time per token.
      return addSample(stats, event.elapsedMs / Math.max(1, event.tokens), nowMs);
    case 'corrected':
      return {
        ...stats,
        outstandingTokens: countDown(stats.outstandingTokens, -event.tokensChange),
        longOutstanding: countDown(stats.longOutstanding, -event.longChange),
      };
    case 'failed': {
      const failures = stats.failures + 1;
      const backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** (failures - 1));
      const window = stats.reportedAtMs === undefined ? Math.max(1, stats.window / 2) : stats.window;
      return { ...stats, failures, window, unreachableUntilMs: nowMs + backoffMs };
    }
    case 'answered': {
      // Without load reports the window grows with each answer while it is used, and halves with each failure.
      const grows = stats.reportedAtMs === undefined && stats.outstanding >= stats.window - 1;
      const window = grows ? stats.window + 1 / stats.window : stats.window;
      return { ...stats, failures: 0, window, unreachableUntilMs: 0 };
    }
    case 'done':
      return {
        ...stats,
        outstanding: countDown(stats.outstanding, 1),
        outstandingTokens: stats.outstanding <= 1 ? 0 : countDown(stats.outstandingTokens, event.tokensLeft),
        longOutstanding: countDown(stats.longOutstanding, event.long ? 1 : 0),
      };
    case 'reported':
      return applyReport(stats, event);
    default:
      return exhaustive(event);
  }
}
