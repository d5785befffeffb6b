import {
  chooseServer,
  findHomes,
  type ByteBudget,
  type ByteEstimate,
  type DispatchRequest,
  type PlannedStage,
  type PoolTracker,
  type PoolView,
  type Random,
  type ServerDescription,
} from '@bergamotcove/decide';
import type { PrefixHints } from '@bergamotcove/entry';
import type { LoadStage } from '../types.js';
import type { LoadWorld, RunState } from './types.js';

/** Facts of the attempt that a server is picked for. */
export interface PickFacts {
  readonly run: RunState;
  readonly stage: PlannedStage;
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
  /** Server that an attempt would go to now; nothing is taken from the byte budget. */
  find(facts: PickFacts): Pick;
  pick(facts: PickFacts): Pick;
}

/** Options of {@link createServerPicker}. */
export interface PickerOptions {
  readonly world: LoadWorld;
  readonly place: { readonly failureDomain: string; readonly region: string };
  readonly book: PoolTracker;
  readonly bytes: ByteBudget;
  readonly prefixes: PrefixHints;
  readonly random: Random;
}

const NO_LONG_LIMIT = false;
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
    const live = world.listServers(facts.stage.kind).filter((server) => server.state === 'live');
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
      const turn = turns.get(facts.stage.kind) ?? 0;
      turns.set(facts.stage.kind, turn + 1);
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
const createPredicted = (options: PickerOptions) => {
  const { world, place, book, random } = options;

  const adjust = (view: PoolView): PoolView =>
    world.policy.demotion ? view : { ...view, servers: view.servers.map((server) => ({ ...server, slowness: 1 })) };

  return (facts: PickFacts) => {
    const nowMs = world.events.nowMs();
    const servers = world.listServers(facts.stage.kind);
    const request: DispatchRequest = {
      tokens: facts.tokens,
      prefillTokens: options.prefixes.prefillTokens(facts.run.plan, facts.stage),
      long: world.policy.longLimit ? facts.long : NO_LONG_LIMIT,
      remainingMs: facts.remainingMs,
      avoidServers: facts.avoidServers,
      ...place,
      savedTokens: world.policy.affinity ? options.prefixes.savedTokens(facts.run.plan, facts.stage) : new Map(),
      crossRegionAllowed: world.policy.spill && options.bytes.hasRoom(facts.bytes, nowMs),
      localOverloaded: facts.localOverloaded,
      nowMs,
    };
    return chooseServer(adjust(book.view(facts.stage.kind, servers, nowMs)), request, random);
  };
};

/** Creates the picker of one host. */
export default function createServerPicker(options: PickerOptions): ServerPicker {
  const { world } = options;
  const pickBaseline = createBaseline(options);
  const pickPredicted = createPredicted(options);
  const find = (facts: PickFacts): Pick => {
    if (world.policy.choice !== 'predicted') {
      const server = pickBaseline(facts);
      return server === undefined
        ? { type: 'wait' }
        : { type: 'send', server, crossRegion: server.region !== options.place.region };
    }
    const choice = pickPredicted(facts);
    return choice?.type === 'send'
      ? { type: 'send', server: choice.server, crossRegion: choice.crossRegion }
      : { type: 'wait' };
  };
  return {
    find,
    pick: (facts) => {
      const found = find(facts);
      const limited = world.policy.choice === 'predicted' && found.type === 'send' && found.crossRegion;
      return limited && !options.bytes.take(facts.bytes, world.events.nowMs()) ? { type: 'wait' } : found;
    },
  };
}
