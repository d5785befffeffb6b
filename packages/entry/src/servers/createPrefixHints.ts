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

/** Server and latency of the first token of an attempt at a generation stage. */
export interface FirstTokenSample {
  readonly serverId: string;
  readonly elapsedMs: number;
}

/** Estimates of this host of what the prefix caches of the engines save. */
export interface PrefixHints {
  /** Expected saving in tokens of work by server id; empty while the prefill time is unknown or affinity saves no time. */
  savedTokens(plan: RequestPlan, stage: PlannedStage): ReadonlyMap<string, number>;
  /** Expected work before the first token on a server without the prefix, in tokens; 0 while unknown. */
  prefillTokens(plan: RequestPlan, stage: PlannedStage): number;
  /** Records the time to the first token of an attempt. */
  noteFirstToken(plan: RequestPlan, stage: PlannedStage, sample: FirstTokenSample): void;
  /** Records that an attempt was sent to a server, which then probably has the prefix cached. */
  noteSent(plan: RequestPlan, serverId: string): void;
}

/** Options of {@link createPrefixHints}. */
export interface PrefixHintsOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  readonly directory: Pick<ServerDirectory, 'listPool' | 'msPerToken'>;
  readonly estimates: Estimates;
  readonly region: string;
}

const MAX_SENT_ENTRIES = 20_000;
const HOME_SERVERS = 2;
/** Quantile of the time to the first token that stands for a cold cache: slow first tokens had no cached prefix. */
const COLD_QUANTILE = 0.9;

/** Prefix key: requests of an organisation for one operation begin with the same instructions and context. */
const formatPrefixKey = (plan: RequestPlan): string => `${plan.service} ${plan.operation.name} ${plan.organisation}`;

const formatStageKey = (plan: RequestPlan, stage: PlannedStage): string =>
  `${plan.service} ${plan.operation.name} ${stage.name}`;

/**
 * Creates the prefix hints of this host. The home servers of a prefix are chosen by rendezvous hashing, so that hosts
 * agree on them without messages; the attempts that this host has sent are used in addition.
 *
 * @param options - clock, servers, estimates and the region of this host
 * @returns the hints
 */
export default function createPrefixHints(options: PrefixHintsOptions): PrefixHints {
  const { clock, directory, estimates, region } = options;
  const evidence = createPrefixEvidence();
  const sentAtMs = new LRUCache<string, number>({ max: MAX_SENT_ENTRIES });
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
      const homes = findHomes(key, ids, HOME_SERVERS);
      return new Map(
        ids.map((serverId) => {
          const sent = sentAtMs.get(`${serverId} ${key}`);
          const hint = { homeIndex: homes.indexOf(serverId), ...(sent === undefined ? {} : { sentAtMs: sent }) };
          return [serverId, estimateSaving(hint, coldTokens, clock.monotonicMs())];
        }),
      );
    },
    noteFirstToken: (plan, stage, { serverId, elapsedMs }) => {
      const homes = findHomes(formatPrefixKey(plan), listLocalIds(stage.pool), HOME_SERVERS);
      const place = homes.includes(serverId) ? 'home' : 'other';
      evidence.note(formatStageKey(plan, stage), place, elapsedMs, clock.monotonicMs());
    },
    noteSent: (plan, serverId) => {
      sentAtMs.set(`${serverId} ${formatPrefixKey(plan)}`, clock.monotonicMs());
    },
  };
}
