import type { Clock } from '@bergamotcove/clock';
import { correctLength, decideHedge, type PlannedStage, type RequestPlan } from '@bergamotcove/decide';
import type { Estimates } from './createEstimates.js';
import type { PrefixHints } from './createPrefixHints.js';
import type { ServerDirectory } from './createServerDirectory.js';

/** What is done about a slow attempt. */
export type SlowVerdict =
  | 'none'
  /** A second attempt runs beside this one; nothing has arrived yet. */
  | 'hedge'
  /** The stream goes on at its next token on another server, which costs only the prefill. */
  | 'migrate';

/** Follows the progress of one attempt and tells the server statistics about it. */
export interface AttemptFollower {
  sent(): void;
  tokensArrived(count: number): void;
  answered(): void;
  /** The attempt is over, however it ended. */
  closed(): void;
  check(): SlowVerdict;
}

/** Options of {@link createAttemptFollower}. */
export interface AttemptFollowerOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  readonly directory: Pick<ServerDirectory, 'note' | 'noteSize' | 'msPerToken'>;
  readonly estimates: Estimates;
  readonly prefixes: Pick<PrefixHints, 'noteFirstToken'>;
  readonly plan: RequestPlan;
  readonly stage: PlannedStage;
  readonly serverId: string;
  readonly tokens: number;
  readonly resumeTokenIndex: number;
  readonly long: boolean;
  readonly hedgeQuantile: number;
}

/** Tokens are counted over this span, because engines send them in batches. */
const SAMPLE_MS = 100;
const MIN_SAMPLE_TOKENS = 4;
/** A wait below this multiple of the learnt quantile is ordinary variation. */
const SILENCE_FACTOR = 2;
const STAGE_QUANTILE = 0.99;
/** Share of the time left at the start after which a silent server is doubted while nothing has been learnt. */
const COLD_SILENCE_SHARE = 0.25;
/** Share of that time after which a stream that has stopped is moved. */
const STREAM_SILENCE_SHARE = 0.125;

class Follower implements AttemptFollower {
  private sentAtMs = 0;

  private sampledAtMs = 0;

  private arrived = 0;

  private arrivedAtMs = 0;

  private sampled = 0;

  private bookedTokens: number;

  private estimateTokens: number;

  private long: boolean;

  private paceMs = 0;

  private open = false;

  constructor(private readonly options: AttemptFollowerOptions) {
    this.bookedTokens = options.tokens;
    this.estimateTokens = options.tokens;
    this.long = options.long;
  }

  sent(): void {
    const { clock, directory, stage, serverId, tokens, long } = this.options;
    this.sentAtMs = clock.monotonicMs();
    this.sampledAtMs = this.sentAtMs;
    this.open = true;
    directory.note(serverId, { type: 'sent', tokens, long });
    directory.noteSize(stage.pool, tokens);
  }

  tokensArrived(count: number): void {
    const { clock, estimates, prefixes, plan, stage, serverId } = this.options;
    const nowMs = clock.monotonicMs();
    if (this.arrived === 0) {
      const elapsedMs = nowMs - this.sentAtMs;
      estimates.learnFirstToken(plan, stage, elapsedMs);
      prefixes.noteFirstToken(plan, stage, { serverId, elapsedMs });
      this.sampledAtMs = nowMs;
    }
    this.arrived += count;
    this.arrivedAtMs = nowMs;
    if (nowMs - this.sampledAtMs >= SAMPLE_MS) {
      this.sample(nowMs);
    }
  }

  answered(): void {
    const { clock, directory, estimates, plan, stage, serverId, resumeTokenIndex } = this.options;
    const elapsedMs = clock.monotonicMs() - this.sentAtMs;
    directory.note(serverId, { type: 'answered' });
    estimates.learnStage(plan, stage, elapsedMs);
    if (stage.kind === 'generate') {
      estimates.learnLength(plan, resumeTokenIndex + this.arrived);
    } else {
      directory.note(serverId, { type: 'progress', tokens: 1, elapsedMs });
    }
  }

  closed(): void {
    if (this.open) {
      this.open = false;
      const { directory, serverId } = this.options;
      directory.note(serverId, { type: 'done', tokensLeft: this.bookedTokens, long: this.long });
    }
  }

  check(): SlowVerdict {
    const { clock, stage } = this.options;
    if (!this.open || stage.effect === 'once') {
      return 'none';
    }
    const nowMs = clock.monotonicMs();
    if (stage.kind === 'generate' && this.arrived > 0) {
      return this.checkStream(nowMs);
    }
    return this.checkSilence(nowMs);
  }

  private checkSilence(nowMs: number): SlowVerdict {
    const { estimates, plan, stage, hedgeQuantile, directory, serverId } = this.options;
    const usualMs =
      stage.kind === 'generate'
        ? estimates.firstTokenMs(plan, stage, hedgeQuantile)
        : estimates.stageMs(plan, stage, STAGE_QUANTILE);
    const silentMs = nowMs - this.sentAtMs;
    const limitMs =
      usualMs === undefined ? this.timeAtStartMs() * COLD_SILENCE_SHARE : Math.max(SAMPLE_MS, usualMs * SILENCE_FACTOR);
    if (silentMs < limitMs) {
      return 'none';
    }
    if (stage.kind !== 'generate') {
      // The answer is not there yet, so the time so far is a lower bound.
      directory.note(serverId, { type: 'progress', tokens: 1, elapsedMs: silentMs });
    }
    return 'hedge';
  }

  private timeAtStartMs(): number {
    return this.options.plan.deadlineAtMs - this.sentAtMs;
  }

  private checkStream(nowMs: number): SlowVerdict {
    const { clock, directory, estimates, plan, stage, hedgeQuantile } = this.options;
    if (nowMs - this.arrivedAtMs > this.timeAtStartMs() * STREAM_SILENCE_SHARE) {
      return 'migrate';
    }
    if (nowMs - this.sampledAtMs >= SAMPLE_MS) {
      this.sample(nowMs);
    }
    const poolMsPerToken = directory.msPerToken(stage.pool);
    const slow = decideHedge(
      {
        elapsedMs: clock.monotonicMs() - this.sentAtMs,
        paceMs: this.paceMs,
        remainingTokens: Math.max(1, this.estimateTokens - this.arrived),
        repeatTokens: (estimates.firstTokenMs(plan, stage, hedgeQuantile) ?? 0) / poolMsPerToken,
      },
      { poolMsPerToken, paceQuantile: estimates.paceRatio(stage.pool, hedgeQuantile) },
    );
    return slow ? 'migrate' : 'none';
  }

  /** Notes the tokens of the last span: speed of the server, work that is left, length of the answer. */
  private sample(nowMs: number): void {
    const { directory, estimates, serverId, stage, plan } = this.options;
    const tokens = this.arrived - this.sampled;
    const elapsedMs = nowMs - this.sampledAtMs;
    const poolMsPerToken = directory.msPerToken(stage.pool);
    this.paceMs = elapsedMs / Math.max(1, tokens);
    this.sampled = this.arrived;
    this.sampledAtMs = nowMs;
    if (tokens >= MIN_SAMPLE_TOKENS || this.paceMs > poolMsPerToken * SILENCE_FACTOR) {
      directory.note(serverId, { type: 'progress', tokens, elapsedMs });
      estimates.learnPace(stage.pool, this.paceMs / poolMsPerToken);
    }
    const corrected = correctLength(this.estimateTokens, this.arrived);
    const long = this.long || this.options.resumeTokenIndex + corrected >= plan.operation.longOutputTokens;
    const tokensChange = corrected - this.estimateTokens - Math.min(tokens, this.bookedTokens);
    const longChange = long && !this.long ? 1 : 0;
    this.estimateTokens = corrected;
    this.bookedTokens += tokensChange;
    this.long = long;
    directory.note(serverId, { type: 'corrected', tokensChange, longChange });
  }
}

/**
 * Creates the follower of one attempt.
 *
 * @param options - the attempt, its server and what this host has learnt
 * @returns the follower; `closed` must be called once at the end
 */
export default function createAttemptFollower(options: AttemptFollowerOptions): AttemptFollower {
  return new Follower(options);
}
