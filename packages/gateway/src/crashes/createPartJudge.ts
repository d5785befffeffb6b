import type { Clock, Timer } from '@bergamotcove/clock';
import { findCrashingParts, listPartSuspects, MIN_SURVIVAL_MS, type PoisonState } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import coalesceRuns from './coalesceRuns.js';
import type { OutputTally } from './createOutputTally.js';

/** Finds the parts of prompts that crash servers. */
export interface PartJudge {
  /**
   * Judges the parts of the prompts in the recent crashes of a pool, and again once later output is confirmed. Resolves
   * after the first round.
   */
  judge(pool: string): Promise<void>;
  close(): void;
}

/** Options of {@link createPartJudge}. */
export interface PartJudgeOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly tally: Pick<OutputTally, 'collect'>;
  /** Crashes and blocks that this host knows. */
  readonly readState: () => PoisonState;
  /** Called with each part that is found and not blocked yet. */
  readonly onBlamed: (part: string) => void;
}

/** Delay of the second round, in which output shortly before a crash is confirmed or disproved. */
const SECOND_ROUND_MS = MIN_SURVIVAL_MS + 200;
/** Parts above this probability of being in the crashes by chance are not logged. */
const MAX_LOGGED_CHANCE = 0.1;

class Judge implements PartJudge {
  private readonly runRound = coalesceRuns((pool) => this.round(pool));

  private readonly secondRounds = new Map<string, Timer>();

  constructor(private readonly options: PartJudgeOptions) {}

  judge(pool: string): Promise<void> {
    const { clock } = this.options;
    this.secondRounds.get(pool)?.close();
    const timer = clock.schedule(SECOND_ROUND_MS, () => {
      this.secondRounds.delete(pool);
      this.runRound(pool).catch(() => undefined);
    });
    this.secondRounds.set(pool, timer);
    return this.runRound(pool);
  }

  close(): void {
    this.secondRounds.forEach((timer) => timer.close());
    this.secondRounds.clear();
  }

  private async round(pool: string): Promise<void> {
    const { clock, logger, tally, readState, onBlamed } = this.options;
    const { parts, crashes } = listPartSuspects(readState(), pool, clock.monotonicMs());
    if (parts.length === 0) {
      return;
    }
    const evidence = await tally.collect({ pool, parts, crashesAtMs: crashes.map(({ atMs }) => atMs) });
    const { blamed, open } = findCrashingParts(crashes, parts, evidence);
    const { blocks } = readState();
    blamed
      .filter(({ part }) => !blocks.has(part))
      .forEach((found) => {
        logger.event('partPoisoned', { pool, ...found });
        onBlamed(found.part);
      });
    open
      .filter(({ chance }) => chance < MAX_LOGGED_CHANCE)
      .forEach((suspect) => logger.event('partSuspected', { pool, ...suspect }));
  }
}

/**
 * Creates the judge of parts of prompts.
 *
 * @param options - state of the host, and the tally of output over all hosts
 * @returns the judge; close it to cancel its pending rounds
 */
export default function createPartJudge(options: PartJudgeOptions): PartJudge {
  return new Judge(options);
}
