import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import createEngineSelector, { type GenerationNeed } from './createEngineSelector.js';

/** A large region: requests of sessions with long shared prompt parts, mixed with short requests without a session. */
const ENGINES = 30;
const SESSIONS = 320;
const SESSION_TOKENS = 4_870;
const TEMPLATE = { partId: 'template', tokens: 512 };
const SESSION_REQUEST_SHARE = 0.25;
const OBJECTIVE_MS = 1_500;
/** Time of the stages of a request before its generation. */
const STAGES_MS = 500;
const RATE = 30;
const STREAM_MS = 1_500;
const DURATION_MS = 40_000;
/** Requests before this time are not measured, because the caches start empty. */
const WARM_UP_MS = 10_000;
const SEEDS = [11, 12, 13, 14, 15, 16];

interface LoadResult {
  readonly onTime: number;
  /** Measured requests that belong to a session. */
  readonly longs: number;
  /** Session tokens that an engine read although another engine had them cached. */
  readonly rereadTokens: number;
  /** Number of requests of each engine. */
  readonly sent: readonly number[];
}

const createNeed = (index: number, random: () => number): GenerationNeed => {
  const own = { partId: `own-${index}`, tokens: Math.round(-Math.log(1 - random()) * 3_000) + 50 };
  const hasSession = random() < SESSION_REQUEST_SHARE;
  const session = { partId: `session-${Math.floor(random() ** 1.3 * SESSIONS)}`, tokens: SESSION_TOKENS };
  const parts = hasSession ? [TEMPLATE, session, own] : [own];
  return {
    requestId: `r${index}`,
    parts,
    promptTokens: parts.reduce((sum, { tokens }) => sum + tokens, 0),
    resultBytes: new Map(),
    avoidServers: [],
    deadlineAtMs: Infinity,
  };
};

/** Simulates the load on engines that read one prompt at a time. */
const simulate = (seed: number, arrivalsPerS: number): LoadResult => {
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);
  const selector = createEngineSelector();
  selector.setEngines(
    Array.from({ length: ENGINES }, (_, index) => ({
      serverId: `e${index}`,
      failureDomain: 'a',
      startedAtMs: 1,
      capacityTokens: 380_000,
    })),
  );
  const sent = new Map<string, number>();
  const partsByEngine = new Map<string, Set<string>>();
  const freeAtMs = new Map<string, number>();
  const started = new Set<string>();
  const firstTokens: { readonly atMs: number; readonly requestId: string }[] = [];
  const tally = { onTime: 0, longs: 0, rereadTokens: 0 };
  let nowMs = 0;
  for (let index = 0; nowMs < DURATION_MS; index += 1) {
    nowMs += (-Math.log(1 - random()) * 1_000) / arrivalsPerS;
    firstTokens.sort((a, b) => a.atMs - b.atMs);
    while ((firstTokens[0]?.atMs ?? Infinity) <= nowMs) {
      const { atMs, requestId } = firstTokens.shift() as { readonly atMs: number; readonly requestId: string };
      const isToken = !started.has(requestId);
      selector.recordEvent(
        isToken ? { type: 'first-token', requestId, slowness: 1 } : { type: 'ended', requestId },
        atMs,
      );
      if (isToken) {
        started.add(requestId);
        firstTokens.push({ atMs: atMs + STREAM_MS, requestId });
      }
    }
    const need = createNeed(index, random);
    const choice = selector.choose(need, nowMs);
    assert.ok(choice !== undefined);
    selector.place(need, choice, nowMs);
    sent.set(choice.serverId, (sent.get(choice.serverId) ?? 0) + 1);
    const cache = partsByEngine.get(choice.serverId) ?? new Set<string>();
    partsByEngine.set(choice.serverId, cache);
    const missing = need.parts.filter(({ partId }) => !cache.has(partId));
    missing.forEach(({ partId }) => cache.add(partId));
    const readMs = missing.reduce((sum, { tokens }) => sum + tokens, 0) / RATE + 20;
    const tokenAtMs = Math.max(nowMs, freeAtMs.get(choice.serverId) ?? 0) + readMs;
    freeAtMs.set(choice.serverId, tokenAtMs);
    firstTokens.push({ atMs: tokenAtMs, requestId: need.requestId });
    if (need.parts.length > 1 && nowMs > WARM_UP_MS) {
      const [, session] = need.parts;
      const isElsewhere = [...partsByEngine].some(
        ([id, parts]) => id !== choice.serverId && parts.has(session?.partId ?? ''),
      );
      tally.longs += 1;
      tally.onTime += tokenAtMs - nowMs <= OBJECTIVE_MS - STAGES_MS ? 1 : 0;
      tally.rereadTokens +=
        isElsewhere && missing.some(({ partId }) => partId === session?.partId) ? SESSION_TOKENS : 0;
    }
  }
  return { ...tally, sent: [...sent.values()] };
};

const simulateAllSeeds = (arrivalsPerS: number): readonly LoadResult[] =>
  SEEDS.map((seed) => simulate(seed, arrivalsPerS));

test('under normal load at most 3% of session tokens are read twice, and requests are spread over all engines', () => {
  simulateAllSeeds(80).forEach(({ longs, rereadTokens, sent }, index) => {
    const rereadShare = rereadTokens / (longs * SESSION_TOKENS);
    assert.ok(rereadShare <= 0.03, `${rereadShare} read again with seed ${SEEDS[index]}`);
    assert.equal(sent.length, ENGINES);
    const mean = sent.reduce((sum, count) => sum + count, 0) / ENGINES;
    assert.ok(Math.max(...sent) < 2 * mean, `${Math.max(...sent)} of ${mean} with seed ${SEEDS[index]}`);
  });
});

test('at three quarters of the read capacity, at least 95% of first tokens are on time', () => {
  simulateAllSeeds(180).forEach(({ longs, onTime }, index) => {
    assert.ok(onTime >= 0.95 * longs, `${onTime} of ${longs} with seed ${SEEDS[index]}`);
  });
});
