import type { Clock } from '@bergamotcove/clock';
import { correctLength, decideHedge, type PlannedStage, type RequestPlan } from '@bergamotcove/decide';
import type { Estimates } from './createEstimates.js';
import type { PrefixHints } from './createPrefixHints.js';
import type { ServerDirectory } from './createServerDirectory.js';

/** Response to a slow attempt. */
export type SlowVerdict =
  | 'none'
  /** Start a second attempt beside this one, from which nothing has arrived yet. */
  | 'hedge'
  /** Resume the stream at its next token on another server, which costs only the prefill. */
  | 'migrate';

/** Monitors the progress of one attempt and updates the server statistics and the estimates with it. */
export interface AttemptMonitor {
  sent(): void;
  tokensArrived(count: number): void;
  answered(): void;
  /** Called once when the attempt has ended, whatever its result. */
  closed(): void;
  /** Returns whether the attempt is slow and how to respond. */
  check(): SlowVerdict;
}

/** Options of {@link createAttemptMonitor}. */
export interface AttemptMonitorOptions {
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

/** Shortest time over which tokens are counted, because engines send them in batches. */
const SAMPLE_INTERVAL_MS = 100;
/** Tokens below which a sample counts only if it is slow. */
const MIN_SAMPLE_TOKENS = 4;
/** Times below this multiple of the learnt quantile, or of the pool's time per token, are ordinary variation. */
const SLOWNESS_FACTOR = 2;
const STAGE_QUANTILE = 0.99;
/** Share of the time to the deadline, from the start, after which a silent server is slow while no time is learnt. */
const COLD_SILENCE_RATIO = 0.25;
/** Share of the time to the deadline, from the start, after which a stalled stream migrates. */
const STREAM_SILENCE_RATIO = 0.125;

class Monitor implements AttemptMonitor {
  private sentAtMs = 0;

  private sampleStartedAtMs = 0;

  private arrivedTokens = 0;

  private lastTokenAtMs = 0;

  private sampledTokens = 0;

  /** Tokens of this attempt that the server statistics count as outstanding. */
  private outstandingTokens: number;

  private estimatedTokens: number;

  private long: boolean;

  /** Time per token in the last sample. */
  private paceMs = 0;

  private open = false;

  constructor(private readonly options: AttemptMonitorOptions) {
    this.outstandingTokens = options.tokens;
    this.estimatedTokens = options.tokens;
    this.long = options.long;
  }

  sent(): void {
    const { clock, directory, stage, serverId, tokens, long } = this.options;
    this.sentAtMs = clock.monotonicMs();
    this.sampleStartedAtMs = this.sentAtMs;
    this.open = true;
    directory.note(serverId, { type: 'sent', tokens, long });
    directory.noteSize(stage.pool, tokens);
  }

  tokensArrived(count: number): void {
    const { clock, estimates, prefixes, plan, stage, serverId } = this.options;
    const nowMs = clock.monotonicMs();
    if (this.arrivedTokens === 0) {
      const elapsedMs = nowMs - this.sentAtMs;
      estimates.learnFirstToken(plan, stage, elapsedMs);
      prefixes.noteFirstToken(plan, stage, { serverId, elapsedMs });
      this.sampleStartedAtMs = nowMs;
    }
    this.arrivedTokens += count;
    this.lastTokenAtMs = nowMs;
    if (nowMs - this.sampleStartedAtMs >= SAMPLE_INTERVAL_MS) {
      this.recordSample(nowMs);
    }
  }

  answered(): void {
    const { clock, directory, estimates, plan, stage, serverId, resumeTokenIndex } = this.options;
    const elapsedMs = clock.monotonicMs() - this.sentAtMs;
    directory.note(serverId, { type: 'answered' });
    estimates.learnStage(plan, stage, elapsedMs);
    if (stage.kind === 'generate') {
      estimates.learnLength(plan, resumeTokenIndex + this.arrivedTokens);
    } else {
      directory.note(serverId, { type: 'progress', tokens: 1, elapsedMs });
    }
  }

  closed(): void {
    if (this.open) {
      this.open = false;
      const { directory, serverId } = this.options;
      directory.note(serverId, { type: 'done', tokensLeft: this.outstandingTokens, long: this.long });
    }
  }

  check(): SlowVerdict {
    const { clock, stage } = this.options;
    if (!this.open || stage.effect === 'once') {
      return 'none';
    }
    const nowMs = clock.monotonicMs();
    if (stage.kind === 'generate' && this.arrivedTokens > 0) {
      return this.checkStream(nowMs);
    }
    return this.checkFirstResponse(nowMs);
  }

  private checkFirstResponse(nowMs: number): SlowVerdict {
    const { estimates, plan, stage, hedgeQuantile, directory, serverId } = this.options;
    const learntMs =
      stage.kind === 'generate'
        ? estimates.firstTokenMs(plan, stage, hedgeQuantile)
        : estimates.stageMs(plan, stage, STAGE_QUANTILE);
    const silentMs = nowMs - this.sentAtMs;
    const limitMs =
      learntMs === undefined
        ? this.initialRemainingMs() * COLD_SILENCE_RATIO
        : Math.max(SAMPLE_INTERVAL_MS, learntMs * SLOWNESS_FACTOR);
    if (silentMs < limitMs) {
      return 'none';
    }
    if (stage.kind !== 'generate') {
      // There is no answer yet, so the elapsed time is a lower bound of the server's time.
      directory.note(serverId, { type: 'progress', tokens: 1, elapsedMs: silentMs });
    }
    return 'hedge';
  }

  private initialRemainingMs(): number {
    return this.options.plan.deadlineAtMs - this.sentAtMs;
  }

  private checkStream(nowMs: number): SlowVerdict {
    const { clock, directory, estimates, plan, stage, hedgeQuantile } = this.options;
    if (nowMs - this.lastTokenAtMs > this.initialRemainingMs() * STREAM_SILENCE_RATIO) {
      return 'migrate';
    }
    if (nowMs - this.sampleStartedAtMs >= SAMPLE_INTERVAL_MS) {
      this.recordSample(nowMs);
    }
    const poolMsPerToken = directory.msPerToken(stage.pool);
    const slow = decideHedge(
      {
        elapsedMs: clock.monotonicMs() - this.sentAtMs,
        paceMs: this.paceMs,
        remainingTokens: Math.max(1, this.estimatedTokens - this.arrivedTokens),
        repeatTokens: (estimates.firstTokenMs(plan, stage, hedgeQuantile) ?? 0) / poolMsPerToken,
      },
      { poolMsPerToken, paceQuantile: estimates.paceRatio(stage.pool, hedgeQuantile) },
    );
    return slow ? 'migrate' : 'none';
  }

  /** Updates the speed of the server, the outstanding work and the estimated answer length from the last sample. */
  private recordSample(nowMs: number): void {
    const { directory, estimates, serverId, stage, plan } = this.options;
    const tokens = this.arrivedTokens - this.sampledTokens;
    const elapsedMs = nowMs - this.sampleStartedAtMs;
    const poolMsPerToken = directory.msPerToken(stage.pool);
    this.paceMs = elapsedMs / Math.max(1, tokens);
    this.sampledTokens = this.arrivedTokens;
    this.sampleStartedAtMs = nowMs;
    if (tokens >= MIN_SAMPLE_TOKENS || this.paceMs > poolMsPerToken * SLOWNESS_FACTOR) {
      directory.note(serverId, { type: 'progress', tokens, elapsedMs });
      estimates.learnPace(stage.pool, this.paceMs / poolMsPerToken);
    }
    const correctedTokens = correctLength(this.estimatedTokens, this.arrivedTokens);
    const long = this.long || this.options.resumeTokenIndex + correctedTokens >= plan.operation.longOutputTokens;
    const tokensChange = correctedTokens - this.estimatedTokens - Math.min(tokens, this.outstandingTokens);
    const longChange = long && !this.long ? 1 : 0;
    this.estimatedTokens = correctedTokens;
    this.outstandingTokens += tokensChange;
    this.long = long;
    directory.note(serverId, { type: 'corrected', tokensChange, longChange });
  }
}

/**
 * Creates the monitor of one attempt.
 *
 * @param options - the attempt, its server, the server statistics and the estimates of this host
 * @returns the monitor; `closed` must be called once at the end
 */
export default function createAttemptMonitor(options: AttemptMonitorOptions): AttemptMonitor {
  return new Monitor(options);
}
