import {
  chooseServer,
  estimateSaving,
  findHomes,
  type ByteBudget,
  type ByteEstimate,
  type DispatchRequest,
  type PoolBook,
  type PoolView,
  type Random,
  type ServerDescription,
} from '@bergamotcove/decide';
import { PREFILL_TOKENS_PER_TOKEN } from '../constants.js';
import type { LoadStage } from '../types.js';
import type { LoadWorld, RunState } from './types.js';

/** Facts of the attempt that a server is picked for. */
export interface PickFacts {
  readonly run: RunState;
  readonly stage: LoadStage;
  readonly tokens: number;
  readonly long: boolean;
  readonly remainingMs: number;
  readonly avoidServers: readonly string[];
  readonly bytes: ByteEstimate;
  readonly localOverloaded: boolean;
}

/** Server for an attempt, or why there is none. */
export type Pick =
  | { readonly type: 'send'; readonly server: ServerDescription; readonly crossRegion: boolean }
  | { readonly type: 'wait' };

/** Picks servers under the policy of the run. */
export interface ServerPicker {
  pick(facts: PickFacts): Pick;
  /** Notes that a prefix was sent to a server. */
  noteSent(run: RunState, serverId: string): void;
}

/** Options of {@link createServerPicker}. */
export interface PickerOptions {
  readonly world: LoadWorld;
  readonly place: { readonly failureDomain: string; readonly region: string };
  readonly book: PoolBook;
  readonly bytes: ByteBudget;
  readonly random: Random;
}

const NO_LONG_LIMIT = false;
const HOMES = 2;
const HOME_LOAD_FACTOR = 1.25;

const prefixKeyOf = (run: RunState): string => `${run.arrival.organisation}/${run.arrival.operation.name}`;

const nearestOf = (
  servers: readonly ServerDescription[],
  place: PickerOptions['place'],
  byDomain: boolean,
): readonly ServerDescription[] => {
  const inDomain = servers.filter((server) => server.failureDomain === place.failureDomain);
  if (byDomain && inDomain.length > 0) {
    return inDomain;
  }
  const inRegion = servers.filter((server) => server.region === place.region);
  return inRegion.length > 0 ? inRegion : servers;
};

/** The first home of the prefix that is within its bounded load. */
const pickHome = (
  servers: readonly ServerDescription[],
  prefixKey: string,
  outstanding: (server: ServerDescription) => number,
): ServerDescription | undefined => {
  const ids = servers.map((server) => server.serverId);
  const total = servers.reduce((sum, server) => sum + outstanding(server), 1);
  const bound = Math.ceil((total / servers.length) * HOME_LOAD_FACTOR);
  return findHomes(prefixKey, ids, ids.length)
    .map((serverId) => servers.find((server) => server.serverId === serverId) as ServerDescription)
    .find((server) => outstanding(server) < bound);
};

/** Choice of the baselines; they know only what this host sent. */
const createBaseline = (options: PickerOptions) => {
  const { book, random, world, place } = options;
  const turns = new Map<LoadStage, number>();
  const draw = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)] as Item;
  const outstanding = (server: ServerDescription): number => book.stats(server.serverId).outstanding;
  const load = (server: ServerDescription): number => world.findServer(server.serverId).load();
  return (facts: PickFacts): ServerDescription | undefined => {
    const live = world.listServers(facts.stage).filter((server) => server.state === 'live');
    const preferred = live.filter((server) => !facts.avoidServers.includes(server.serverId));
    const usable = preferred.length > 0 ? preferred : live;
    const near = nearestOf(usable, place, world.policy.choice === 'previous');
    if (near.length === 0) {
      return undefined;
    }
    if (world.policy.choice === 'random') {
      return draw(near);
    }
    if (world.policy.choice === 'round-robin') {
      const turn = turns.get(facts.stage) ?? 0;
      turns.set(facts.stage, turn + 1);
      return near[turn % near.length];
    }
    if (world.policy.choice === 'least-outstanding') {
      const least = Math.min(...near.map(outstanding));
      return draw(near.filter((server) => outstanding(server) === least));
    }
    if (world.policy.choice === 'rendezvous') {
      return pickHome(near, prefixKeyOf(facts.run), outstanding);
    }
    const [first, second] = [draw(near), draw(near)];
    if (world.policy.choice === 'probing') {
      return load(second) < load(first) ? second : first;
    }
    return outstanding(second) < outstanding(first) ? second : first;
  };
};

/** Choice by predicted completion, with the parts that the policy turns on. */
const createPredicted = (options: PickerOptions, hints: ReadonlyMap<string, number>) => {
  const { world, place, book, random } = options;

  const savedTokens = (facts: PickFacts, servers: readonly ServerDescription[]): ReadonlyMap<string, number> => {
    const { prefixTokens } = facts.run.arrival.operation;
    if (!world.policy.affinity || facts.stage !== 'generate' || prefixTokens === 0) {
      return new Map();
    }
    const key = prefixKeyOf(facts.run);
    const local = servers.filter((server) => server.region === place.region).map((server) => server.serverId);
    const homes = findHomes(key, local, HOMES);
    return new Map(
      servers.map(({ serverId }) => {
        const sentAtMs = hints.get(`${serverId} ${key}`);
        const hint = { homeIndex: homes.indexOf(serverId), ...(sentAtMs === undefined ? {} : { sentAtMs }) };
        return [serverId, estimateSaving(hint, prefixTokens / PREFILL_TOKENS_PER_TOKEN, world.events.nowMs())];
      }),
    );
  };

  const adjust = (view: PoolView): PoolView =>
    world.policy.demotion ? view : { ...view, servers: view.servers.map((server) => ({ ...server, slowness: 1 })) };

  return (facts: PickFacts) => {
    const nowMs = world.events.nowMs();
    const servers = world.listServers(facts.stage);
    const request: DispatchRequest = {
      tokens: facts.tokens,
      long: world.policy.longLimit ? facts.long : NO_LONG_LIMIT,
      remainingMs: facts.remainingMs,
      avoidServers: facts.avoidServers,
      ...place,
      savedTokens: savedTokens(facts, servers),
      crossRegionAllowed: world.policy.spill && options.bytes.hasRoom(facts.bytes, nowMs),
      localOverloaded: facts.localOverloaded,
      nowMs,
    };
    return chooseServer(adjust(book.view(facts.stage, servers, nowMs)), request, random);
  };
};

/** Creates the picker of one host. */
export default function createServerPicker(options: PickerOptions): ServerPicker {
  const { world } = options;
  const hints = new Map<string, number>();
  const pickBaseline = createBaseline(options);
  const pickPredicted = createPredicted(options, hints);
  return {
    pick: (facts) => {
      if (world.policy.choice !== 'predicted') {
        const server = pickBaseline(facts);
        return server === undefined
          ? { type: 'wait' }
          : { type: 'send', server, crossRegion: server.region !== options.place.region };
      }
      const choice = pickPredicted(facts);
      if (choice?.type !== 'send') {
        return { type: 'wait' };
      }
      if (choice.crossRegion && !options.bytes.take(facts.bytes, world.events.nowMs())) {
        return { type: 'wait' };
      }
      return { type: 'send', server: choice.server, crossRegion: choice.crossRegion };
    },
    noteSent: (run, serverId) => {
      if (run.arrival.operation.prefixTokens > 0) {
        hints.set(`${serverId} ${prefixKeyOf(run)}`, world.events.nowMs());
      }
    },
  };
}
