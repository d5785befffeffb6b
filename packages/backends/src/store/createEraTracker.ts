import parseEra from './_lib/parseEra.js';

/** Why the era of an answer is ignored. */
export type EraProblem = 'missing' | 'invalid' | 'too-high' | 'earlier';

/** A change of the era, or an answer whose era is ignored. */
export type EraEvent =
  | { readonly type: 'advanced'; readonly era: number; readonly before: number }
  /** Emitted once for answers with the same problem, until an answer has a valid era. */
  | { readonly type: 'ignored'; readonly problem: EraProblem; readonly text: string | undefined };

/** Tracks the era of a store: a number that the store increases when it is restored from an older copy. */
export interface EraTracker {
  /** Highest known era; 0 before the first one. */
  readonly era: number;
  /**
   * Processes the era header of an answer. Returns the era of the answer, which is lower than the known era for an
   * outdated answer; an answer without a valid era counts as one of the known era.
   */
  read(text: string | undefined): number;
  /** Processes an era that another host has reported. */
  observe(era: number): void;
  onEvent(run: (event: EraEvent) => void): void;
}

/** Largest plausible increase of the era. A larger one is invalid, and would make every later era look earlier. */
const MAX_STEP = 1_000;

const PARSE_PROBLEMS: Readonly<Record<'none' | 'invalid', EraProblem>> = { none: 'missing', invalid: 'invalid' };

class Tracker implements EraTracker {
  era = 0;

  /** Whether any era is known. */
  private hasEra = false;

  private reportedProblem: EraProblem | undefined;

  private readonly listeners: ((event: EraEvent) => void)[] = [];

  read(text: string | undefined): number {
    const reading = parseEra(text);
    if (reading.type === 'none' && !this.hasEra) {
      return this.era;
    }
    const problem = reading.type === 'era' ? this.findProblem(reading.era) : PARSE_PROBLEMS[reading.type];
    if (problem !== undefined) {
      this.reportIgnored(problem, text);
      return reading.type === 'era' && problem === 'earlier' ? reading.era : this.era;
    }
    this.reportedProblem = undefined;
    if (reading.type === 'era') {
      this.advance(reading.era);
    }
    return this.era;
  }

  observe(era: number): void {
    if (this.findProblem(era) === undefined) {
      this.advance(era);
    }
  }

  onEvent(run: (event: EraEvent) => void): void {
    this.listeners.push(run);
  }

  private findProblem(era: number): EraProblem | undefined {
    if (era < this.era) {
      return 'earlier';
    }
    return this.hasEra && era > this.era + MAX_STEP ? 'too-high' : undefined;
  }

  private advance(era: number): void {
    const before = this.era;
    const isFirst = !this.hasEra;
    this.hasEra = true;
    this.era = era;
    if (era > before && !isFirst) {
      this.emit({ type: 'advanced', era, before });
    }
  }

  private reportIgnored(problem: EraProblem, text: string | undefined): void {
    if (this.reportedProblem !== problem) {
      this.reportedProblem = problem;
      this.emit({ type: 'ignored', problem, text });
    }
  }

  private emit(event: EraEvent): void {
    this.listeners.forEach((run) => run(event));
  }
}

/**
 * Creates a tracker that knows no era yet.
 *
 * @returns the tracker
 */
export default function createEraTracker(): EraTracker {
  return new Tracker();
}
