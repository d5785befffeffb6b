import { exhaustive } from '@bergamotcove/errors';
import { INITIAL_WINDOW, SPEED_SAMPLE_LIFETIME_MS, SPEED_SAMPLE_WEIGHT } from './constants.js';
import adaptWindow from './adaptWindow.js';
import type { LoadReport, ServerEventInput, ServerStats } from './types.js';

/** Initial statistics of a server. */
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

/** First back-off after a failed connection; it doubles with each consecutive failure. */
const MIN_BACKOFF_MS = 200;
const MS_PER_SECOND = 1_000;
const MAX_BACKOFF_MS = 3_200;

const subtractDownToZero = (value: number, change: number): number => Math.max(0, value - change);

/** Estimates the slots of a server. A server with a queue uses all its slots, so its report then shows their number. */
const learnSlots = (stats: ServerStats, report: LoadReport): number => {
  if (report.queued > 0) {
    return Math.max(1, report.running);
  }
  return Math.max(stats.slots, report.running);
};

/**
 * Lowers the time per token of a server to the reported one, so that a probe by another host ends the demotion on this
 * host too. A report never raises it, because engines in their prefill phase report few tokens.
 */
const applyReportedSpeed = (stats: ServerStats, report: LoadReport): ServerStats => {
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
    ...applyReportedSpeed(stats, report),
    othersOutstanding: subtractDownToZero(report.running + report.queued, ownAtReport),
    reportedAtMs: report.reportedAtMs,
    slots,
    window: adaptWindow(report, { ownAtReport, slots, hosts }),
  };
};

/**
 * Updates the statistics of a server by one event.
 *
 * @param stats - statistics before the event
 * @param event - the event
 * @param nowMs - monotonic time
 * @returns statistics after the event
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
      // Before the first token, the elapsed time is a lower bound of the time per token.
      return addSample(stats, event.elapsedMs / Math.max(1, event.tokens), nowMs);
    case 'corrected':
      return {
        ...stats,
        outstandingTokens: subtractDownToZero(stats.outstandingTokens, -event.tokensChange),
        longOutstanding: subtractDownToZero(stats.longOutstanding, -event.longChange),
      };
    case 'failed': {
      const failures = stats.failures + 1;
      const backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** (failures - 1));
      const window = stats.reportedAtMs === undefined ? Math.max(1, stats.window / 2) : stats.window;
      return { ...stats, failures, window, unreachableUntilMs: nowMs + backoffMs };
    }
    case 'answered': {
      // Without load reports the window increases additively with each answer while it is full, and halves with each
      // failure.
      const grows = stats.reportedAtMs === undefined && stats.outstanding >= stats.window - 1;
      const window = grows ? stats.window + 1 / stats.window : stats.window;
      return { ...stats, failures: 0, window, unreachableUntilMs: 0 };
    }
    case 'done':
      return {
        ...stats,
        outstanding: subtractDownToZero(stats.outstanding, 1),
        outstandingTokens: stats.outstanding <= 1 ? 0 : subtractDownToZero(stats.outstandingTokens, event.tokensLeft),
        longOutstanding: subtractDownToZero(stats.longOutstanding, event.long ? 1 : 0),
      };
    case 'reported':
      return applyReport(stats, event);
    default:
      return exhaustive(event);
  }
}
