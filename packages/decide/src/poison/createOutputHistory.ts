import { LRUCache } from 'lru-cache';
import { MIN_SURVIVAL_MS, RUN_RETENTION_MS } from './constants.js';

/** Output of servers that is asked for: for some parts of prompts, and for all prompts of a pool between crashes. */
export interface OutputQuery {
  readonly pool: string;
  /** Keys of parts of prompts. */
  readonly parts: readonly string[];
  /** Monotonic times of crashes in the pool, ascending. */
  readonly crashesAtMs: readonly number[];
}

/** Output that one host has seen. */
export interface OutputSummary {
  /** For each part, the monotonic time of the latest first output for a prompt with it; undefined without one. */
  readonly lastOutputsAtMs: readonly (number | undefined)[];
  /** Prompts whose first output came between each crash and the next one. */
  readonly outputCounts: readonly number[];
}

/** Recent first outputs of servers for prompts. Output counts if the server survived it for {@link MIN_SURVIVAL_MS}. */
export interface OutputHistory {
  /** Records the first output of a server for a prompt. */
  note(prompt: NotedPrompt, nowMs: number): void;
  /** Records that a server has ended; its last output before may have been part of a crash. */
  noteEnded(serverId: string, endedAtMs: number): void;
  /** Summarises the outputs that answer a query. Those for parts include recent ones of servers that have not ended. */
  summarise(query: OutputQuery, nowMs: number): OutputSummary;
}

/** A prompt that a server has begun to answer. */
export interface NotedPrompt {
  readonly serverId: string;
  readonly pool: string;
  readonly parts: readonly string[];
}

interface Output {
  readonly serverId: string;
  readonly atMs: number;
}

const MAX_PARTS = 8_192;
const MAX_POOLS = 64;
const MAX_ENDED_SERVERS = 1_024;
/** Maximum number of outputs that are kept for one part. */
const MAX_OUTPUTS_PER_PART = 16;
/** At most one output of a server for a part is kept in this time, so that those of other servers stay. */
const SPACING_MS = 100;
/** Maximum number of outputs that are kept for a pool. */
const MAX_OUTPUTS_PER_POOL = 4_096;

/** Counts the outputs between each time and the next one. Outputs and times ascend. */
const countBetween = (outputs: readonly Output[], timesMs: readonly number[]): readonly number[] => {
  const counts = timesMs.slice(1).map(() => 0);
  let interval = 0;
  outputs.forEach(({ atMs }) => {
    while (interval < counts.length && atMs > (timesMs[interval + 1] ?? Infinity)) {
      interval += 1;
    }
    if (interval < counts.length && atMs > (timesMs[interval] ?? Infinity)) {
      counts[interval] = (counts[interval] ?? 0) + 1;
    }
  });
  return counts;
};

class History implements OutputHistory {
  private readonly outputsByPart = new LRUCache<string, readonly Output[]>({ max: MAX_PARTS });

  private readonly outputsByPool = new LRUCache<string, Output[]>({ max: MAX_POOLS });

  private readonly endedAtMs = new LRUCache<string, number>({ max: MAX_ENDED_SERVERS });

  note({ serverId, pool, parts }: NotedPrompt, nowMs: number): void {
    const output = { serverId, atMs: nowMs };
    parts.forEach((part) => this.noteForPart(part, output));
    const outputs = this.outputsByPool.get(pool) ?? [];
    outputs.push(output);
    if (outputs.length > MAX_OUTPUTS_PER_POOL) {
      outputs.splice(0, MAX_OUTPUTS_PER_POOL / 2);
    }
    this.outputsByPool.set(pool, outputs);
  }

  noteEnded(serverId: string, endedAtMs: number): void {
    this.endedAtMs.set(serverId, endedAtMs);
  }

  summarise({ pool, parts, crashesAtMs }: OutputQuery, nowMs: number): OutputSummary {
    const confirmed = (this.outputsByPool.peek(pool) ?? []).filter(
      (output) => nowMs - output.atMs < RUN_RETENTION_MS && this.isConfirmed(output, nowMs),
    );
    return {
      lastOutputsAtMs: parts.map((part) => this.findLast(part)),
      outputCounts: countBetween(confirmed, crashesAtMs),
    };
  }

  private noteForPart(part: string, output: Output): void {
    const outputs = this.outputsByPart.get(part) ?? [];
    const isRepeat = outputs.some(
      ({ serverId, atMs }) => serverId === output.serverId && output.atMs - atMs < SPACING_MS,
    );
    if (!isRepeat) {
      this.outputsByPart.set(part, [...outputs, output].slice(-MAX_OUTPUTS_PER_PART));
    }
  }

  private findLast(part: string): number | undefined {
    return (this.outputsByPart.peek(part) ?? []).findLast((output) => this.mayHaveSurvived(output))?.atMs;
  }

  /** Whether the server is not known to have ended shortly after the output. */
  private mayHaveSurvived({ serverId, atMs }: Output): boolean {
    const survivedMs = (this.endedAtMs.get(serverId) ?? Infinity) - atMs;
    return survivedMs < 0 || survivedMs >= MIN_SURVIVAL_MS;
  }

  private isConfirmed(output: Output, nowMs: number): boolean {
    return nowMs - output.atMs >= MIN_SURVIVAL_MS && this.mayHaveSurvived(output);
  }
}

/**
 * Creates an empty history of outputs.
 *
 * @returns the history
 */
export default function createOutputHistory(): OutputHistory {
  return new History();
}
