import { correctLength, createExtraBudget, decideHedge, type ExtraBudget, type PoolBook } from '@bergamotcove/decide';
import type { Estimates } from './createEstimates.js';
import type { AttemptState, LoadWorld, RunState } from './types.js';

/** What following attempts needs. */
export interface FollowOptions {
  readonly world: LoadWorld;
  readonly book: PoolBook;
  readonly estimates: Estimates;
  readonly hedge: (attempt: AttemptState) => boolean;
  readonly isLong: (run: RunState) => boolean;
}

/** Without a token for this multiple of the usual time, the silence itself is a sample. */
const SILENCE_FACTOR = 2;
const SILENCE_QUANTILE = 0.98;
const HEDGE_QUANTILE = 0.95;
const STAGE_HEDGE_QUANTILE = 0.99;
const MIN_SAMPLE_TOKENS = 4;
/** Hedges may cost this share of the work of first attempts. */
const HEDGE_BUDGET = { ratio: 0.03, burst: 400 };

const budgets = new WeakMap<PoolBook, ExtraBudget>();

const budgetOf = (book: PoolBook): ExtraBudget => {
  const budget = budgets.get(book) ?? createExtraBudget(HEDGE_BUDGET);
  budgets.set(book, budget);
  return budget;
};

const applyCorrection = (followed: AttemptState, options: FollowOptions): void => {
  const attempt = followed;
  const { run } = attempt;
  const corrected = correctLength(run.estimateTokens, run.arrivedTokens);
  const tokensChange = corrected - run.estimateTokens;
  run.estimateTokens = corrected;
  const long = options.isLong(run);
  const longChange = long && !attempt.long ? 1 : 0;
  if (tokensChange > 0 || longChange > 0) {
    attempt.bookedTokens += tokensChange;
    attempt.long ||= long;
    const event = { type: 'corrected', tokensChange, longChange } as const;
    options.book.note(attempt.server.description.serverId, event, options.world.events.nowMs());
  }
};

/** Notes the tokens that arrived since the last look; returns whether the pace of the attempt is known. */
const followTokens = (followed: AttemptState, options: FollowOptions, poolMsPerToken: number): boolean => {
  const attempt = followed;
  const { world, book, estimates } = options;
  const nowMs = world.events.nowMs();
  const { serverId } = attempt.server.description;
  const tokens = attempt.server.progress(attempt.job);
  const elapsedMs = nowMs - attempt.seenAtMs;
  const usualMs = (attempt.prefillTokens + 1) * poolMsPerToken;
  if (tokens === 0) {
    const factor = Math.max(SILENCE_FACTOR, estimates.silenceQuantile(SILENCE_QUANTILE) ?? SILENCE_FACTOR);
    if (nowMs - attempt.sentAtMs < usualMs * factor) {
      return false;
    }
    attempt.paceMs = (nowMs - attempt.sentAtMs) / (attempt.prefillTokens + 1);
    book.note(serverId, { type: 'progress', tokens: 0, elapsedMs: attempt.paceMs }, nowMs);
    return true;
  }
  const change = tokens - attempt.seenTokens;
  const first = attempt.seenTokens === 0;
  attempt.seenTokens = tokens;
  attempt.seenAtMs = nowMs;
  const done = Math.min(attempt.bookedTokens, change + (first ? attempt.prefillTokens : 0));
  attempt.bookedTokens -= done;
  book.note(serverId, { type: 'corrected', tokensChange: -done, longChange: 0 }, nowMs);
  attempt.run.arrivedTokens = Math.max(attempt.run.arrivedTokens, attempt.resumeTokens + tokens);
  if (first) {
    estimates.learnSilence((nowMs - attempt.sentAtMs) / usualMs);
    return false;
  }
  attempt.paceMs = elapsedMs / Math.max(1, change);
  if (change >= MIN_SAMPLE_TOKENS || attempt.paceMs > poolMsPerToken * SILENCE_FACTOR) {
    book.note(serverId, { type: 'progress', tokens: change, elapsedMs }, nowMs);
    estimates.learnPace(attempt.paceMs / poolMsPerToken);
  }
  return true;
};

const followGeneration = (attempt: AttemptState, options: FollowOptions): void => {
  const { world, book, estimates } = options;
  const poolMsPerToken = book.msPerToken('generate', world.listServers('generate'), world.events.nowMs());
  if (!followTokens(attempt, options, poolMsPerToken)) {
    return;
  }
  applyCorrection(attempt, options);
  const { run } = attempt;
  const facts = {
    elapsedMs: world.events.nowMs() - attempt.sentAtMs,
    paceMs: attempt.paceMs,
    remainingTokens: Math.max(1, run.estimateTokens - run.arrivedTokens),
    repeatTokens: estimates.prefillTokens(run.arrival, run.arrivedTokens),
  };
  const norm = { poolMsPerToken, paceQuantile: estimates.paceQuantile(HEDGE_QUANTILE) };
  if (run.attempts.length === 1 && decideHedge(facts, norm)) {
    // A stream that goes on elsewhere repeats only the prefill; a second attempt also repeats part of the answer.
    const parallelTokens = run.arrivedTokens > 0 ? 0 : facts.remainingTokens / 2;
    if (budgetOf(book).spend(facts.repeatTokens + parallelTokens)) {
      options.hedge(attempt);
    }
  }
};

const followStage = (attempt: AttemptState, options: FollowOptions): void => {
  const { world, estimates, book } = options;
  const usualMs = estimates.stageMs(attempt.run, attempt.stage, STAGE_HEDGE_QUANTILE);
  const silentMs = world.events.nowMs() - attempt.sentAtMs;
  if (attempt.run.attempts.length === 1 && attempt.stage !== 'call' && silentMs > usualMs * SILENCE_FACTOR) {
    if (budgetOf(book).spend(1)) {
      options.hedge(attempt);
    }
  }
};

/**
 * Looks at the attempts in flight: learns the pace of servers, corrects length estimates and sends hedges.
 *
 * @param attempts - attempts in flight of one host
 * @param options - state of the host
 */
export default function followAttempts(attempts: readonly AttemptState[], options: FollowOptions): void {
  attempts
    .filter((attempt) => !attempt.closed)
    .forEach((attempt) => {
      if (attempt.stage === 'generate') {
        budgetOf(options.book).earn(attempt.server.progress(attempt.job) - attempt.seenTokens || 0);
        followGeneration(attempt, options);
      } else {
        followStage(attempt, options);
      }
    });
}
