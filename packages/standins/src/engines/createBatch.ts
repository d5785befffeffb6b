import type { Clock, Timer } from '@bergamotcove/clock';

/** One generation in the batch. */
export interface Sequence {
  readonly id: string;
  /** Lower numbers run first. */
  readonly priority: number;
  /** Prompt tokens that must be computed before the first token. */
  readonly prefillTokens: number;
  readonly firstTokenIndex: number;
  readonly tokenCount: number;
  /** Called with the index of each token, and with `tokenCount` when the generation is finished. */
  readonly emit: (tokenIndex: number) => void;
}

/** Load of the batch in sequences and tokens. */
export interface BatchLoad {
  readonly running: number;
  readonly waiting: number;
  /** Prompt and output tokens that remain to be computed. */
  readonly queuedTokens: number;
}

/** Continuous batching: sequences join and leave the batch between steps. */
export interface Batch {
  add(sequence: Sequence): void;
  /** Removes a sequence; false when it is not in the batch. */
  cancel(id: string): boolean;
  load(): BatchLoad;
  ids(): readonly string[];
  clear(): void;
}

/** Options of {@link createBatch}. */
export interface BatchOptions {
  readonly clock: Clock;
  /** Duration of one step. */
  readonly stepMs: number;
  /** Tokens computed in one step, prompt tokens included. */
  readonly tokenBudget: number;
  /** Maximum number of sequences in progress. */
  readonly maxRunning: number;
}

/** Progress of one sequence. */
class Slot {
  private nextToken: number;

  private remainingPrefill: number;

  constructor(readonly sequence: Sequence) {
    this.nextToken = sequence.firstTokenIndex;
    this.remainingPrefill = sequence.prefillTokens;
  }

  get promptComputed(): boolean {
    return this.remainingPrefill === 0;
  }

  get finished(): boolean {
    return this.nextToken >= this.sequence.tokenCount;
  }

  get queuedTokens(): number {
    return this.remainingPrefill + this.sequence.tokenCount - this.nextToken;
  }

  /** Computes prompt tokens within the budget and returns their number. */
  prefill(budget: number): number {
    const spent = Math.min(budget, this.remainingPrefill);
    this.remainingPrefill -= spent;
    return spent;
  }

  decode(): void {
    this.nextToken += 1;
    this.sequence.emit(this.nextToken - 1);
  }
}

const byPriority = (a: Slot, b: Slot): number => a.sequence.priority - b.sequence.priority;

/** Decodes one token for each sequence whose prompt is computed; returns the number of tokens decoded. */
const decode = (slots: readonly Slot[], budget: number): number => {
  const ready = slots.filter((slot) => slot.promptComputed && !slot.finished).slice(0, budget);
  ready.forEach((slot) => slot.decode());
  return ready.length;
};

/**
 * Creates an empty batch. Each step decodes one token for each sequence in progress, in order of priority, and uses the
 * rest of the token budget for prefill.
 *
 * @param options - clock, step duration, token budget, maximum number of sequences
 * @returns the batch; its timer runs only while the batch contains sequences
 */
export default function createBatch(options: BatchOptions): Batch {
  let slots: Slot[] = [];
  let timer: Timer | undefined;

  const step = (): void => {
    const inProgress = slots.slice(0, options.maxRunning);
    const spent = decode(inProgress, options.tokenBudget);
    inProgress.reduce((remaining, slot) => remaining - slot.prefill(remaining), options.tokenBudget - spent);
    const finished = slots.filter((slot) => slot.finished);
    slots = slots.filter((slot) => !slot.finished);
    finished.forEach(({ sequence }) => sequence.emit(sequence.tokenCount));
    timer = slots.length > 0 ? options.clock.schedule(options.stepMs, step) : undefined;
  };
  return {
    add: (sequence) => {
      slots = [...slots, new Slot(sequence)].sort(byPriority);
      timer ??= options.clock.schedule(options.stepMs, step);
    },
    cancel: (id) => {
      const countBefore = slots.length;
      slots = slots.filter((slot) => slot.sequence.id !== id);
      return slots.length < countBefore;
    },
    load: () => {
      const running = Math.min(slots.length, options.maxRunning);
      const queuedTokens = slots.reduce((sum, slot) => sum + slot.queuedTokens, 0);
      return { running, waiting: slots.length - running, queuedTokens };
    },
    ids: () => slots.map((slot) => slot.sequence.id),
    clear: () => {
      slots = [];
      timer?.close();
      timer = undefined;
    },
  };
}
