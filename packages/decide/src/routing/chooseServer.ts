import type { ChoiceOptions, ServerView } from './types.js';

/** Distance of a server from this host: same failure domain, same region, other region. */
const rankDistance = (server: ServerView, options: ChoiceOptions): number => {
  if (server.failureDomain === options.failureDomain) {
    return 0;
  }
  return server.region === options.region ? 1 : 2;
};

const pickRandom = (servers: readonly ServerView[], options: ChoiceOptions): ServerView | undefined =>
  servers[Math.floor(options.random() * servers.length)];

/**
 * Chooses a backend server for one attempt: the nearer group first, then the less loaded of two random candidates.
 *
 * @param servers - servers of one pool
 * @param options - servers to avoid, this host's place, random source
 * @returns the server, or undefined when no live server remains
 * @example
 * const server = chooseServer(pool, { avoidServers: [], failureDomain: 'a', region: 'r', random });
 */
export default function chooseServer(servers: readonly ServerView[], options: ChoiceOptions): ServerView | undefined {
  const live = servers.filter((server) => server.state === 'live');
  const preferred = live.filter((server) => !options.avoidServers.includes(server.serverId));
  const usable = preferred.length > 0 ? preferred : live;
  const nearest = Math.min(...usable.map((server) => rankDistance(server, options)));
  const near = usable.filter((server) => rankDistance(server, options) === nearest);
  const first = pickRandom(near, options);
  const second = pickRandom(near, options);
  if (first === undefined || second === undefined) {
    return undefined;
  }
  return second.outstanding < first.outstanding ? second : first;
}
