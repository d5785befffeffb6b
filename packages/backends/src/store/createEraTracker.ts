import parseEra from './_lib/parseEra.js';

/** Why the era of an answer does not count. */
export type EraProblem = 'missing' | 'invalid' | 'too-high' | 'earlier';

/** Something that an answer told of the era. */
export type EraEvent =
  | { readonly type: 'advanced'; readonly era: number; readonly before: number }
  /** Told once until a good one comes. */
  | { readonly type: 'ignored'; readonly problem: EraProblem; readonly text: string | undefined };

/** Follows the era of a store: it rises when the store comes back from an older copy. */
export interface EraTracker {
  /** Highest era that was heard of; 0 before. */
  readonly era: number;
  /** Takes the header of an answer; returns the era of the answer. */
  read(text: string | undefined): number;
  /** Another host has told of an era. */
  hear(era: number): void;
  onEvent(run: (event: EraEvent) => void): void;
}

/** Eras that may pass unheard; a header that jumps further is wrong, and would make every later era look earlier. */
const MAX_STEP = 1_000;

const PROBLEMS: Readonly<Record<'none' | 'invalid', EraProblem>> = { none: 'missing', invalid: 'invalid' };

class Tracker implements EraTracker {
  era = 0;

  /** Whether any answer has told an era. */
  private isTold = false;

  private reported: EraProblem | undefined;

  private readonly listeners: ((event: EraEvent) => void)[] = [];

  read(text: string | undefined): number {
    const reading = parseEra(text);
    if (reading.type === 'none' && !this.isTold) {
      return this.era;
    }
    const problem = reading.type === 'era' ? this.findProblem(reading.era) : PROBLEMS[reading.type];
    if (problem !== undefined) {
      this.ignore(problem, text);
      return reading.type === 'era' && problem === 'earlier' ? reading.era : this.era;
    }
    this.reported = undefined;
    if (reading.type === 'era') {
      this.advance(reading.era);
    }
    return this.era;
  }

  hear(era: number): void {
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
    return this.isTold && era > this.era + MAX_STEP ? 'too-high' : undefined;
  }

  private advance(era: number): void {
    const before = this.era;
    const isFirst = !this.isTold;
    this.isTold = true;
    this.era = era;
    if (era > before && !isFirst) {
      this.tell({ type: 'advanced', era, before });
    }
  }

  private ignore(problem: EraProblem, text: string | undefined): void {
    if (this.reported !== problem) {
      this.reported = problem;
      this.tell({ type: 'ignored', problem, text });
    }
  }

  private tell(event: EraEvent): void {
    this.listeners.forEach((run) => run(event));
  }
}

/**
 * Creates a tracker that has heard of no era.
 *
 * @returns the tracker
 */
export default function createEraTracker(): EraTracker {
  return new Tracker();
}
