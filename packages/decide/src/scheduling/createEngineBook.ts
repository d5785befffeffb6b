import xxhash from 'xxhash-wasm';
import createPartCache, { type PartCache } from './_lib/createPartCache.js';
import type { PartNeed } from './types.js';

const { h32 } = await xxhash();

/** An engine as the book uses it. */
export interface EngineDescription {
  readonly serverId: string;
  readonly failureDomain: string;
  /** Distinguishes the starts of a server; a new one has an empty cache. */
  readonly startedAtMs: number;
  readonly capacityTokens: number;
}

/** A generation that wants an engine. */
export interface GenerationNeed {
  readonly requestId: string;
  readonly parts: readonly PartNeed[];
  readonly promptTokens: number;
  /** Bytes of stage results by the failure domain that holds them. */
  readonly resultBytes: ReadonlyMap<string, number>;
  readonly avoidServers: readonly string[];
  /** Monotonic time after which nobody waits for it. */
  readonly deadlineAtMs: number;
}

/** An engine chosen for a generation. */
export interface EngineChoice {
  readonly serverId: string;
  readonly failureDomain: string;
  /** Expected time to the first token. */
  readonly firstTokenMs: number;
  /** Tokens of the prompt that have to be read. */
  readonly missingTokens: number;
}

/** What happened on an engine. */
export type EngineEvent =
  /** The first token arrived; `slowness` is the engine's own figure, if it tells one. */
  | { readonly type: 'first-token'; readonly requestId: string; readonly slowness: number | undefined }
  | { readonly type: 'ended'; readonly requestId: string }
  /** The attempt gave no answer. */
  | { readonly type: 'failed'; readonly requestId: string };

/** What one region knows of its engines. */
export interface EngineBook {
  setEngines(engines: readonly EngineDescription[]): void;
  /** Best engine now, without a commitment. */
  choose(need: GenerationNeed, nowMs: number): EngineChoice | undefined;
  /** The generation is sent there. */
  place(need: GenerationNeed, choice: EngineChoice, nowMs: number): void;
  note(event: EngineEvent, nowMs: number): void;
  /** Forgets every generation that is placed. */
  forgetPlaced(): void;
}

interface Placed {
  readonly engine: EngineState;
  readonly deadlineAtMs: number;
  readonly missingTokens: number;
  readonly placedAtMs: number;
  /** Tokens that were to be read before and with this prompt. */
  readonly queuedTokens: number;
  started: boolean;
}

interface EngineState {
  readonly description: EngineDescription;
  readonly hashSeed: number;
  readonly cache: PartCache;
  readonly placed: Map<string, Placed>;
  slowness: number;
  slownessAtMs: number;
  failures: number;
  restsUntilMs: number;
  /** When a first token last came from the engine. */
  tokenAtMs: number;
}

/** Prompt tokens read in a millisecond, until it is learnt. */
const FIRST_RATE = 30;
const RATE_WEIGHT = 0.05;
const MIN_RATE = 3;
const MAX_RATE = 200;
/** Prompts below this size tell little about the rate. */
const MIN_LEARN_TOKENS = 2_000;
/** Time to the first token besides the reading of prompts. */
const BASE_MS = 20;
/** Cost of a shared token that has to be read again, beside the time it takes: it pushes others out of the cache. */
const SHARED_TOKEN_MS = 0.06;
/**
 * Spread between engines that cost the same otherwise. Each session has its own order of the engines, which a scheduler
 * that knows nothing yet finds again.
 */
const SPREAD_MS = 160;
const HASH_RANGE = 2 ** 32;
/** Cost of a request in progress: all tokens of an engine are made at a slower pace. */
const RUNNING_MS = 10;
/** Cost of a result in another failure domain, in time for each megabyte. */
const FAR_MS_PER_MB = 25;
const BYTES_PER_MB = 1_000_000;
/** A first token that takes this many times as long as expected is overdue. */
const OVERDUE_FACTOR = 2;
/** An engine's own figure of its slowness holds for about as long. */
const SLOWNESS_FADE_MS = 400;
const FIRST_REST_MS = 200;
const MAX_REST_MS = 1_600;

/** What is served by the same engine if possible: the session of a prompt, or else the request alone. */
const nameSession = ({ parts, requestId }: GenerationNeed): string => parts.at(-2)?.partId ?? requestId;

class Book implements EngineBook {
  private readonly engines = new Map<string, EngineState>();

  private readonly placed = new Map<string, Placed>();

  private tokensPerMs = FIRST_RATE;

  /** No generation that is placed has an earlier deadline. */
  private nextDeadlineAtMs = Infinity;

  setEngines(engines: readonly EngineDescription[]): void {
    const listed = new Map(engines.map((engine) => [engine.serverId, engine]));
    this.engines.forEach(({ description }, serverId) => {
      if (listed.get(serverId)?.startedAtMs !== description.startedAtMs) {
        this.engines.delete(serverId);
      }
    });
    listed.forEach((description, serverId) => {
      if (!this.engines.has(serverId)) {
        this.engines.set(serverId, {
          description,
          hashSeed: h32(serverId),
          cache: createPartCache(description.capacityTokens),
          placed: new Map(),
          slowness: 1,
          slownessAtMs: -Infinity,
          failures: 0,
          restsUntilMs: -Infinity,
          tokenAtMs: -Infinity,
        });
      }
    });
  }

  choose(need: GenerationNeed, nowMs: number): EngineChoice | undefined {
    this.expire(nowMs);
    const all = [...this.engines.values()];
    const rested = all.filter(({ restsUntilMs }) => restsUntilMs <= nowMs);
    const usable = rested.length > 0 ? rested : all;
    const fresh = usable.filter(({ description }) => !need.avoidServers.includes(description.serverId));
    const session = nameSession(need);
    const rated = (fresh.length > 0 ? fresh : usable).map((engine) => this.rate(engine, need, session, nowMs));
    return rated.reduce<(EngineChoice & { readonly costMs: number }) | undefined>(
      (best, one) => (best === undefined || one.costMs < best.costMs ? one : best),
      undefined,
    );
  }

  place(need: GenerationNeed, choice: EngineChoice, nowMs: number): void {
    const engine = this.engines.get(choice.serverId);
    if (engine === undefined) {
      return;
    }
    const { missingTokens } = choice;
    const placed = {
      engine,
      deadlineAtMs: need.deadlineAtMs,
      missingTokens,
      placedAtMs: nowMs,
      queuedTokens: this.queuedTokens(engine, nowMs) + missingTokens,
      started: false,
    };
    this.end(need.requestId);
    this.placed.set(need.requestId, placed);
    this.nextDeadlineAtMs = Math.min(this.nextDeadlineAtMs, need.deadlineAtMs);
    engine.placed.set(need.requestId, placed);
    engine.cache.use(need.parts);
  }

  note(event: EngineEvent, nowMs: number): void {
    const placed = this.placed.get(event.requestId);
    if (placed === undefined) {
      return;
    }
    const { engine } = placed;
    switch (event.type) {
      case 'first-token':
        engine.failures = 0;
        engine.tokenAtMs = nowMs;
        engine.slowness = event.slowness ?? 1;
        engine.slownessAtMs = nowMs;
        this.learn(placed, nowMs);
        placed.started = true;
        return;
      case 'failed':
        engine.restsUntilMs = nowMs + Math.min(MAX_REST_MS, FIRST_REST_MS * 2 ** engine.failures);
        engine.failures += 1;
        this.end(event.requestId);
        return;
      default:
        this.end(event.requestId);
    }
  }

  forgetPlaced(): void {
    [...this.placed.keys()].forEach((requestId) => this.end(requestId));
  }

  /** Ends generations past their deadlines: the host that was to tell their end may be gone. */
  private expire(nowMs: number): void {
    if (nowMs <= this.nextDeadlineAtMs) {
      return;
    }
    const overdue = [...this.placed].filter(([, { deadlineAtMs }]) => deadlineAtMs < nowMs);
    overdue.forEach(([requestId]) => this.end(requestId));
    this.nextDeadlineAtMs = [...this.placed.values()].reduce(
      (earliest, { deadlineAtMs }) => Math.min(earliest, deadlineAtMs),
      Infinity,
    );
  }

  private rate(
    engine: EngineState,
    need: GenerationNeed,
    session: string,
    nowMs: number,
  ): EngineChoice & { readonly costMs: number } {
    const { serverId, failureDomain } = engine.description;
    const cachedTokens = engine.cache.prefixTokens(need.parts);
    const missingTokens = Math.max(0, need.promptTokens - cachedTokens);
    const sharedTokens = need.parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
    const rereadTokens = Math.max(0, sharedTokens - cachedTokens);
    const readMs = ((this.queuedTokens(engine, nowMs) + missingTokens) / this.tokensPerMs) * Book.slow(engine, nowMs);
    const firstTokenMs = BASE_MS + readMs + this.overdueMs(engine, nowMs);
    let farBytes = 0;
    need.resultBytes.forEach((bytes, domain) => {
      farBytes += domain === failureDomain ? 0 : bytes;
    });
    const costMs =
      firstTokenMs +
      rereadTokens * SHARED_TOKEN_MS +
      (farBytes / BYTES_PER_MB) * FAR_MS_PER_MB +
      engine.placed.size * RUNNING_MS +
      (h32(session, engine.hashSeed) / HASH_RANGE) * SPREAD_MS;
    return { serverId, failureDomain, firstTokenMs, missingTokens, costMs };
  }

  /**
   * Prompt tokens that the engine still has to read. What it has read since its last first token is at most the prompt
   * that came first: without a token, more progress is not believed.
   */
  private queuedTokens(engine: EngineState, nowMs: number): number {
    const waiting = [...engine.placed.values()].filter(({ started }) => !started);
    const [first] = waiting;
    if (first === undefined) {
      return 0;
    }
    const sinceMs = Math.max(first.placedAtMs, engine.tokenAtMs);
    const readTokens = Math.min(first.missingTokens, (nowMs - sinceMs) * this.tokensPerMs);
    return waiting.reduce((sum, { missingTokens }) => sum + missingTokens, 0) - readTokens;
  }

  /** Time by which the first token of the oldest prompt is overdue. */
  private overdueMs(engine: EngineState, nowMs: number): number {
    const first = [...engine.placed.values()].find(({ started }) => !started);
    if (first === undefined) {
      return 0;
    }
    const expectedMs = BASE_MS + (first.queuedTokens / this.tokensPerMs) * OVERDUE_FACTOR;
    return Math.max(0, nowMs - Math.max(first.placedAtMs, engine.tokenAtMs) - expectedMs);
  }

  private static slow(engine: EngineState, nowMs: number): number {
    return 1 + (engine.slowness - 1) * Math.exp(-(nowMs - engine.slownessAtMs) / SLOWNESS_FADE_MS);
  }

  private learn(placed: Placed, nowMs: number): void {
    const elapsedMs = nowMs - placed.placedAtMs - BASE_MS;
    if (placed.started || placed.queuedTokens < MIN_LEARN_TOKENS || elapsedMs <= 0) {
      return;
    }
    const sample = Math.min(MAX_RATE, Math.max(MIN_RATE, placed.queuedTokens / elapsedMs));
    this.tokensPerMs += (sample - this.tokensPerMs) * RATE_WEIGHT;
  }

  private end(requestId: string): void {
    const placed = this.placed.get(requestId);
    placed?.engine.placed.delete(requestId);
    this.placed.delete(requestId);
  }
}

/**
 * Creates the book of the engines of a region. It knows every generation placed there, and so which parts of prompts
 * each engine holds and how much it has to read before the next one.
 *
 * @returns the book
 * @example
 * const choice = book.choose(need, nowMs);
 */
export default function createEngineBook(): EngineBook {
  return new Book();
}
