import type { Clock } from '@bergamotcove/clock';
import {
  createPrefixEvidence,
  estimateSaving,
  findHomes,
  type PlannedStage,
  type RequestPlan,
} from '@bergamotcove/decide';
import { LRUCache } from 'lru-cache';
import type { Estimates } from './createEstimates.js';
import type { ServerDirectory } from './createServerDirectory.js';

/** First token of an attempt at a generation stage. */
export interface FirstTokenSample {
  readonly serverId: string;
  readonly elapsedMs: number;
}

/** What this host expects of the prefix caches of the engines. */
export interface PrefixHints {
  /** Expected saving in tokens of work by server id; empty while the prefill time is not known. */
  savedTokens(plan: RequestPlan, stage: PlannedStage): ReadonlyMap<string, number>;
  /** Expected work before the first token on a server without the prefix; 0 while it is not known. */
  prefillTokens(plan: RequestPlan, stage: PlannedStage): number;
  /** Notes the time to the first token of an attempt. */
  noteFirstToken(plan: RequestPlan, stage: PlannedStage, sample: FirstTokenSample): void;
  noteSent(plan: RequestPlan, serverId: string): void;
}

/** Options of {@link createPrefixHints}. */
export interface PrefixHintsOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  readonly directory: Pick<ServerDirectory, 'listPool' | 'msPerToken'>;
  readonly estimates: Estimates;
  readonly region: string;
}

const MAX_HINTS = 20_000;
const HOMES = 2;
/** The slower first tokens are those without a cached prefix. */
const COLD_QUANTILE = 0.9;

/** Requests of an organisation for one operation begin with the same instructions and context. */
const formatPrefixKey = (plan: RequestPlan): string => `${plan.service} ${plan.operation.name} ${plan.organisation}`;

const formatStageKey = (plan: RequestPlan, stage: PlannedStage): string =>
  `${plan.service} ${plan.operation.name} ${stage.name}`;

/**
 * Creates the prefix hints of this host. The home servers of a prefix follow from rendezvous hashing, so that hosts
 * agree on them without messages; what this host sent itself adds to that.
 *
 * @param options - servers and learnt times
 * @returns the hints
 */
export default function createPrefixHints(options: PrefixHintsOptions): PrefixHints {
  const { clock, directory, estimates, region } = options;
  const evidence = createPrefixEvidence();
  const sentAtMs = new LRUCache<string, number>({ max: MAX_HINTS });
  const listLocalIds = (pool: string): readonly string[] =>
    directory
      .listPool(pool)
      .filter((server) => server.region === region)
      .map((server) => server.serverId);
  const prefillTokens = (plan: RequestPlan, stage: PlannedStage): number => {
    const coldMs = stage.kind === 'generate' ? estimates.firstTokenMs(plan, stage, COLD_QUANTILE) : undefined;
    return coldMs === undefined ? 0 : coldMs / directory.msPerToken(stage.pool);
  };
  return {
    prefillTokens,
    savedTokens: (plan, stage) => {
      const coldTokens = prefillTokens(plan, stage);
      if (coldTokens === 0 || !evidence.isUseful(formatStageKey(plan, stage), clock.monotonicMs())) {
        return new Map();
      }
      const key = formatPrefixKey(plan);
      const ids = listLocalIds(stage.pool);
      const homes = findHomes(key, ids, HOMES);
      return new Map(
        ids.map((serverId) => {
          const sent = sentAtMs.get(`${serverId} ${key}`);
          const hint = { homeIndex: homes.indexOf(serverId), ...(sent === undefined ? {} : { sentAtMs: sent }) };
          return [serverId, estimateSaving(hint, coldTokens, clock.monotonicMs())];
        }),
      );
    },
    noteFirstToken: (plan, stage, { serverId, elapsedMs }) => {
      const homes = findHomes(formatPrefixKey(plan), listLocalIds(stage.pool), HOMES);
      const place = homes.includes(serverId) ? 'home' : 'other';
      evidence.note(formatStageKey(plan, stage), place, elapsedMs, clock.monotonicMs());
    },
    noteSent: (plan, serverId) => {
      sentAtMs.set(`${serverId} ${formatPrefixKey(plan)}`, clock.monotonicMs());
    },
  };
}
