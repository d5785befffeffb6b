import type { BatchQueueView, CallOutcome, PieceOutcome, PlannedCall } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';

/** Logger and metrics of the calls. */
export interface CallSinks {
  readonly logger: Logger;
  readonly metrics: ScrapedMetrics;
}

/** A call that a stage server answered. */
export interface AnsweredCall {
  readonly pool: string;
  readonly call: PlannedCall;
  readonly totalMs: number;
  readonly status: number;
  /** Outcome of each piece; undefined when the server accepted none. */
  readonly pieces: readonly PieceOutcome[] | undefined;
  readonly view: BatchQueueView;
}

const HUNDREDTHS = 100;
const roundShare = (share: number): number => Math.round(share * HUNDREDTHS) / HUNDREDTHS;

/** Counts pieces without a result by outcome. */
const countFailures = (pieces: readonly PieceOutcome[]): Readonly<Partial<Record<PieceOutcome, number>>> => {
  const counts: Partial<Record<PieceOutcome, number>> = {};
  pieces
    .filter((outcome) => outcome !== 'done')
    .forEach((outcome) => {
      counts[outcome] = (counts[outcome] ?? 0) + 1;
    });
  return counts;
};

/** Logs an answered call with the state of its queue. */
export const reportCall = (
  { pool, call, totalMs, status, pieces = [], view }: AnsweredCall,
  { logger }: CallSinks,
): void => {
  logger.event('batchEnded', {
    pool,
    serverId: call.serverId,
    pieces: call.pieces.length,
    expectedMs: Math.round(call.expectedMs),
    totalMs: Math.round(totalMs),
    waiting: view.waitingPieces,
    taken: roundShare(view.takenShare),
    spare: roundShare(view.spareShare),
    status,
    ...countFailures(pieces),
  });
};

/** Counts a call, and logs one that was not answered. */
export const reportOutcome = (
  { pool, call, outcome }: { readonly pool: string; readonly call: PlannedCall; readonly outcome: CallOutcome },
  { logger, metrics }: CallSinks,
): void => {
  const pieces = call.pieces.length;
  metrics.report('pool.calls', 1, { pool, result: outcome.type });
  if (outcome.type === 'limited') {
    return;
  }
  metrics.report('pool.pieces', pieces, { pool });
  if (outcome.type === 'answered') {
    metrics.report('pool.call_duration', outcome.totalMs, { pool });
  } else {
    logger.event('batchFailed', { pool, serverId: call.serverId, pieces, outcome: outcome.type });
  }
};
