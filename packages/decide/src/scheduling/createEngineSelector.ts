import xxhash from 'xxhash-wasm';
import createPrefixCache, { type PrefixCache } from './_lib/createPrefixCache.js';
import type { PromptPart } from './types.js';

const { h32 } = await xxhash();

/** An engine as the selector sees it. */
export interface EngineDescription {
  readonly serverId: string;
  readonly failureDomain: string;
  /** Identifies one start of the server. A restarted server has an empty cache. */
  readonly startedAtMs: number;
  readonly capacityTokens: number;
  /** Version of its software; empty or undefined when none is known. */
  readonly softwareVersion?: string;
}

/** A generation that needs an engine. */
export interface GenerationNeed {
  readonly requestId: string;
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Bytes of stage results, by the failure domain that holds them. */
  readonly resultBytes: ReadonlyMap<string, number>;
  readonly avoidServers: readonly string[];
  /** Servers that must not get it, also when no other is left. */
  readonly closedServers?: readonly string[];
  /** Version that the engine must have, for a stream that began there. */
  readonly softwareVersion?: string | undefined;
  /** Monotonic time after which the caller no longer waits for the answer. */
  readonly deadlineAtMs: number;
}

/** An engine chosen for a generation. */
export interface EngineChoice {
  readonly serverId: string;
  readonly failureDomain: string;
  /** Expected time to the first token. */
  readonly firstTokenMs: number;
  /** Prompt tokens that are not in the engine's cache and have to be read. */
  readonly missingTokens: number;
}

/** Progress of a generation on an engine. */
export type EngineEvent =
  /** The first token arrived; `slowness` is the value that the engine reports, if any. */
  | { readonly type: 'first-token'; readonly requestId: string; readonly slowness: number | undefined }
  | { readonly type: 'ended'; readonly requestId: string }
  /** The attempt produced no answer. */
  | { readonly type: 'failed'; readonly requestId: string };

/** Tracks the engines of one region and selects one for each generation. */
export interface EngineSelector {
  setEngines(engines: readonly EngineDescription[]): void;
  /** Returns the engine with the lowest cost, or undefined when none may get the generation; records nothing. */
  choose(need: GenerationNeed, nowMs: number): EngineChoice | undefined;
  /** Records that the generation is sent to the chosen engine. */
  place(need: GenerationNeed, choice: EngineChoice, nowMs: number): void;
  /** Updates the engine with an event; events of unknown generations are ignored. */
  recordEvent(event: EngineEvent, nowMs: number): void;
  /** Removes all recorded generations and keeps the modelled caches. */
  clearPlacements(): void;
}

interface Placement {
  readonly engine: EngineState;
  readonly deadlineAtMs: number;
  readonly missingTokens: number;
  readonly placedAtMs: number;
  /** Tokens in the engine's queue when the prompt was placed, its own missing tokens included. */
  readonly queuedTokens: number;
  started: boolean;
}

interface EngineState {
  description: EngineDescription;
  readonly hashSeed: number;
  readonly cache: PrefixCache;
  readonly placements: Map<string, Placement>;
  slowness: number;
  slownessAtMs: number;
  failures: number;
  backoffUntilMs: number;
  /** Monotonic time of the last first token from the engine. */
  lastFirstTokenAtMs: number;
}

/** Prompt tokens that an engine reads in a millisecond, used until the rate is learnt. */
const INITIAL_TOKENS_PER_MS = 30;
/** Weight of a sample in the moving average of the rate. */
const RATE_SAMPLE_WEIGHT = 0.05;
const MIN_TOKENS_PER_MS = 3;
const MAX_TOKENS_PER_MS = 200;
/** Shorter queues give too little information about the rate. */
const MIN_SAMPLE_TOKENS = 2_000;
/** Time to the first token in addition to the reading of prompts. */
const FIRST_TOKEN_OVERHEAD_MS = 20;
/** Cost of a shared token that is read again, in addition to the reading time: it evicts others from the cache. */
const REREAD_TOKEN_COST_MS = 0.06;
/**
 * Largest cost that is added to break ties between engines. The cost is a hash of session and engine, so a scheduler
 * that starts without state prefers the same engine for a session as the one before it.
 */
const MAX_TIE_BREAK_MS = 160;
const HASH_RANGE = 2 ** 32;
/** Cost of each request in progress: it slows down the generation of all other tokens of the engine. */
const RUNNING_REQUEST_COST_MS = 10;
/** Cost of the results in another failure domain, as time per megabyte. */
const CROSS_DOMAIN_MS_PER_MB = 25;
const BYTES_PER_MB = 1_000_000;
/** A first token is overdue after this multiple of the expected reading time. */
const OVERDUE_FACTOR = 2;
/** Time constant with which a reported slowness decays, because a report is valid for about this time. */
const SLOWNESS_DECAY_MS = 400;
const INITIAL_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 1_600;

/** Key of the requests that prefer the same engine: the session of the prompt, or the request id without one. */
const getSessionKey = ({ parts, requestId }: GenerationNeed): string => parts.at(-2)?.partId ?? requestId;

class Selector implements EngineSelector {
  private readonly engines = new Map<string, EngineState>();

  private readonly placements = new Map<string, Placement>();

  private tokensPerMs = INITIAL_TOKENS_PER_MS;

  /** Lower bound of the deadlines of all placements. */
  private nextDeadlineAtMs = Infinity;

  setEngines(engines: readonly EngineDescription[]): void {
    const byServerId = new Map(engines.map((engine) => [engine.serverId, engine]));
    this.engines.forEach(({ description }, serverId) => {
      if (byServerId.get(serverId)?.startedAtMs !== description.startedAtMs) {
        this.engines.delete(serverId);
      }
    });
    byServerId.forEach((description, serverId) => {
      const known = this.engines.get(serverId);
      if (known !== undefined) {
        known.description = description;
      } else {
        this.engines.set(serverId, {
          description,
          hashSeed: h32(serverId),
          cache: createPrefixCache(description.capacityTokens),
          placements: new Map(),
          slowness: 1,
          slownessAtMs: -Infinity,
          failures: 0,
          backoffUntilMs: -Infinity,
          lastFirstTokenAtMs: -Infinity,
        });
      }
    });
  }

  choose(need: GenerationNeed, nowMs: number): EngineChoice | undefined {
    this.expire(nowMs);
    const { closedServers = [], softwareVersion } = need;
    const engines = [...this.engines.values()].filter(
      ({ description }) =>
        !closedServers.includes(description.serverId) &&
        (softwareVersion === undefined || (description.softwareVersion ?? '') === softwareVersion),
    );
    const available = engines.filter(({ backoffUntilMs }) => backoffUntilMs <= nowMs);
    const usable = available.length > 0 ? available : engines;
    const untried = usable.filter(({ description }) => !need.avoidServers.includes(description.serverId));
    const sessionKey = getSessionKey(need);
    const candidates = (untried.length > 0 ? untried : usable).map((engine) =>
      this.estimateCost(engine, need, sessionKey, nowMs),
    );
    return candidates.reduce<(EngineChoice & { readonly costMs: number }) | undefined>(
      (best, candidate) => (best === undefined || candidate.costMs < best.costMs ? candidate : best),
      undefined,
    );
  }

  place(need: GenerationNeed, choice: EngineChoice, nowMs: number): void {
    const engine = this.engines.get(choice.serverId);
    if (engine === undefined) {
      return;
    }
    const { missingTokens } = choice;
    const placement = {
      engine,
      deadlineAtMs: need.deadlineAtMs,
      missingTokens,
      placedAtMs: nowMs,
      queuedTokens: this.queuedTokens(engine, nowMs) + missingTokens,
      started: false,
    };
    this.removePlacement(need.requestId);
    this.placements.set(need.requestId, placement);
    this.nextDeadlineAtMs = Math.min(this.nextDeadlineAtMs, need.deadlineAtMs);
    engine.placements.set(need.requestId, placement);
    engine.cache.use(need.parts);
  }

  recordEvent(event: EngineEvent, nowMs: number): void {
    const placement = this.placements.get(event.requestId);
    if (placement === undefined) {
      return;
    }
    const { engine } = placement;
    switch (event.type) {
      case 'first-token':
        engine.failures = 0;
        engine.lastFirstTokenAtMs = nowMs;
        engine.slowness = event.slowness ?? 1;
        engine.slownessAtMs = nowMs;
        this.learnRate(placement, nowMs);
        placement.started = true;
        return;
      case 'failed':
        engine.backoffUntilMs = nowMs + Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** engine.failures);
        engine.failures += 1;
        this.removePlacement(event.requestId);
        return;
      default:
        this.removePlacement(event.requestId);
    }
  }

  clearPlacements(): void {
    [...this.placements.keys()].forEach((requestId) => this.removePlacement(requestId));
  }

  /** Removes placements past their deadlines: the host that should report their end may have failed. */
  private expire(nowMs: number): void {
    if (nowMs <= this.nextDeadlineAtMs) {
      return;
    }
    const expired = [...this.placements].filter(([, { deadlineAtMs }]) => deadlineAtMs < nowMs);
    expired.forEach(([requestId]) => this.removePlacement(requestId));
    this.nextDeadlineAtMs = [...this.placements.values()].reduce(
      (earliest, { deadlineAtMs }) => Math.min(earliest, deadlineAtMs),
      Infinity,
    );
  }

  private estimateCost(
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
    const readMs =
      ((this.queuedTokens(engine, nowMs) + missingTokens) / this.tokensPerMs) * Selector.currentSlowness(engine, nowMs);
    const firstTokenMs = FIRST_TOKEN_OVERHEAD_MS + readMs + this.overdueMs(engine, nowMs);
    let crossDomainBytes = 0;
    need.resultBytes.forEach((bytes, domain) => {
      crossDomainBytes += domain === failureDomain ? 0 : bytes;
    });
    const costMs =
      firstTokenMs +
      rereadTokens * REREAD_TOKEN_COST_MS +
      (crossDomainBytes / BYTES_PER_MB) * CROSS_DOMAIN_MS_PER_MB +
      engine.placements.size * RUNNING_REQUEST_COST_MS +
      (h32(session, engine.hashSeed) / HASH_RANGE) * MAX_TIE_BREAK_MS;
    return { serverId, failureDomain, firstTokenMs, missingTokens, costMs };
  }

  /**
   * Returns the prompt tokens that the engine still has to read. The progress since its last first token is estimated
   * from the rate and capped at the oldest prompt: only a first token proves that the engine went on to the next one.
   */
  private queuedTokens(engine: EngineState, nowMs: number): number {
    const waiting = [...engine.placements.values()].filter(({ started }) => !started);
    const [first] = waiting;
    if (first === undefined) {
      return 0;
    }
    const sinceMs = Math.max(first.placedAtMs, engine.lastFirstTokenAtMs);
    const readTokens = Math.min(first.missingTokens, (nowMs - sinceMs) * this.tokensPerMs);
    return waiting.reduce((sum, { missingTokens }) => sum + missingTokens, 0) - readTokens;
  }

  /** Returns how long the first token of the oldest unstarted prompt is overdue, in ms. */
  private overdueMs(engine: EngineState, nowMs: number): number {
    const first = [...engine.placements.values()].find(({ started }) => !started);
    if (first === undefined) {
      return 0;
    }
    const expectedMs = FIRST_TOKEN_OVERHEAD_MS + (first.queuedTokens / this.tokensPerMs) * OVERDUE_FACTOR;
    return Math.max(0, nowMs - Math.max(first.placedAtMs, engine.lastFirstTokenAtMs) - expectedMs);
  }

  private static currentSlowness(engine: EngineState, nowMs: number): number {
    return 1 + (engine.slowness - 1) * Math.exp(-(nowMs - engine.slownessAtMs) / SLOWNESS_DECAY_MS);
  }

  private learnRate(placement: Placement, nowMs: number): void {
    const elapsedMs = nowMs - placement.placedAtMs - FIRST_TOKEN_OVERHEAD_MS;
    if (placement.started || placement.queuedTokens < MIN_SAMPLE_TOKENS || elapsedMs <= 0) {
      return;
    }
    const sample = Math.min(MAX_TOKENS_PER_MS, Math.max(MIN_TOKENS_PER_MS, placement.queuedTokens / elapsedMs));
    this.tokensPerMs += (sample - this.tokensPerMs) * RATE_SAMPLE_WEIGHT;
  }

  private removePlacement(requestId: string): void {
    const placement = this.placements.get(requestId);
    placement?.engine.placements.delete(requestId);
    this.placements.delete(requestId);
  }
}

/**
 * Creates the engine selector of a region. It tracks all generations placed in the region, and so models the prompt
 * parts in the cache of each engine and the tokens that the engine has to read before a new prompt.
 *
 * @returns the selector
 * @example
 * const choice = selector.choose(need, nowMs);
 */
export default function createEngineSelector(): EngineSelector {
  return new Selector();
}
