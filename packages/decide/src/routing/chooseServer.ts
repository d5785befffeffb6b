import { BOUNDED_LOAD_FACTOR, LOCAL_DEADLINE_SHARE, LONG_LIMIT_SHARE, PROBE_INTERVAL_MS } from './constants.js';
import estimateLoad from './estimateLoad.js';
import limitDemotions from './limitDemotions.js';
import predictCompletion from './predictCompletion.js';
import type { Choice, DispatchRequest, PoolView, Random, ServerView } from './types.js';

interface Candidate {
  readonly server: ServerView;
  readonly predictedMs: number;
}

/**
 * Whether the window of this host has room for the attempt. Each host may always have one attempt at a server, because
 * reports of the other hosts' attempts are too old to exclude a host from a server whose attempts are shorter than the
 * delay of a report.
 */
const hasRoom = (server: ServerView, request: DispatchRequest, random: Random): boolean => {
  if (server.outstanding > 0 && server.outstanding + random() >= server.window) {
    return false;
  }
  return !request.long || server.longOutstanding < Math.max(1, Math.floor(server.window * LONG_LIMIT_SHARE));
};

/**
 * Whether a demoted server is due for its next probe. A long request and a request that already avoids a server are not
 * used as probes, because they risk missing their deadline.
 */
const isProbeDue = (server: ServerView, request: DispatchRequest): boolean =>
  !request.long && request.avoidServers.length === 0 && request.nowMs - server.lastSentAtMs >= PROBE_INTERVAL_MS;

const pickRandom = <Item>(items: readonly Item[], random: Random): Item | undefined =>
  items[Math.floor(random() * items.length)];

const pickFaster = (a: Candidate, b: Candidate): Candidate => (b.predictedMs < a.predictedMs ? b : a);

/** Finds the server with the largest expected prefix saving among those within the bounded load. */
const findPrefixServer = (candidates: readonly Candidate[], request: DispatchRequest): Candidate | undefined => {
  const saved = (candidate: Candidate): number => request.savedTokens?.get(candidate.server.serverId) ?? 0;
  const total = candidates.reduce((sum, candidate) => sum + estimateLoad(candidate.server) + 1, 0);
  const bound = (total / candidates.length) * BOUNDED_LOAD_FACTOR;
  return candidates
    .filter((candidate) => saved(candidate) > 0 && estimateLoad(candidate.server) + 1 <= bound)
    .reduce<Candidate | undefined>((best, one) => (best && saved(best) >= saved(one) ? best : one), undefined);
};

/**
 * Draws two of the servers with the fewest attempts of this host and takes the one with the earlier predicted
 * completion, or a server that holds the prefix if it is earlier still. The host's own count is exact and spreads its
 * attempts evenly; predictions rest on old reports and estimated lengths, so they decide only between equal counts.
 */
const pickOfTwo = (
  servers: readonly ServerView[],
  pool: PoolView,
  request: DispatchRequest,
  random: Random,
): Candidate | undefined => {
  const candidates = servers.map((server) => ({ server, predictedMs: predictCompletion(server, pool, request) }));
  const fewest = Math.min(...servers.map((server) => server.outstanding));
  const leastUsed = candidates.filter(({ server }) => server.outstanding === fewest);
  const first = pickRandom(leastUsed, random);
  const second = pickRandom(leastUsed, random);
  if (first === undefined || second === undefined) {
    return undefined;
  }
  const drawn = pickFaster(first, second);
  const prefixServer = findPrefixServer(candidates, request);
  return prefixServer === undefined ? drawn : pickFaster(drawn, prefixServer);
};

const pickUsable = (
  servers: readonly ServerView[],
  pool: PoolView,
  request: DispatchRequest,
  options: { readonly demoted: ReadonlySet<string>; readonly random: Random },
): Candidate | undefined => {
  const { demoted, random } = options;
  const usable = servers.filter((server) => hasRoom(server, request, random));
  const probe = usable.find((server) => demoted.has(server.serverId) && isProbeDue(server, request));
  if (probe !== undefined) {
    return { server: probe, predictedMs: predictCompletion(probe, pool, request) };
  }
  // A demoted server stays eligible with a probability that falls with the square of its slowness.
  const eligible = usable.filter((server) => !demoted.has(server.serverId) || random() < 1 / server.slowness ** 2);
  return pickOfTwo(eligible.length > 0 ? eligible : usable, pool, request, random);
};

/**
 * Selects the servers that may get the attempt. Avoiding a suspected failure domain takes precedence over avoiding the
 * servers that the request names: a server that was slow may answer this time, but one behind a network partition does
 * not.
 */
const selectAllowed = (live: readonly ServerView[], request: DispatchRequest): readonly ServerView[] => {
  const reachable = live.filter((server) => server.unreachableUntilMs <= request.nowMs);
  const unsuspected = reachable.filter((server) => !request.suspectedDomains?.has(server.failureDomain));
  const isUsable = unsuspected.some((server) => server.region === request.region || request.crossRegionAllowed);
  const base = isUsable ? unsuspected : reachable;
  const preferred = base.filter((server) => !request.avoidServers.includes(server.serverId));
  return preferred.length > 0 ? preferred : base;
};

const toChoice = (candidate: Candidate, request: DispatchRequest): Choice => ({
  type: 'send',
  server: candidate.server,
  predictedMs: candidate.predictedMs,
  crossRegion: candidate.server.region !== request.region,
});

/**
 * Chooses a backend server for one attempt by predicted completion. Servers of the own region come first; another
 * region is used only when the byte budget has room and it meets a deadline that the own region cannot meet.
 *
 * @param pool - servers of one pool as this host sees them
 * @param request - facts of the attempt
 * @param random - random source
 * @returns a server, or `wait` while no window has room; undefined when no live server remains
 * @example
 * const choice = chooseServer(pool, request, random);
 */
export default function chooseServer(pool: PoolView, request: DispatchRequest, random: Random): Choice | undefined {
  const live = pool.servers.filter((server) => server.state === 'live');
  const allowed = selectAllowed(live, request);
  // The bound on demotions applies to the whole pool, because a region of two servers must be able to demote one.
  const options = { demoted: limitDemotions(live), random };
  const local = allowed.filter((server) => server.region === request.region);
  const remote = allowed.filter((server) => server.region !== request.region);
  const localChoice = pickUsable(local, pool, request, options);
  if (localChoice !== undefined && localChoice.predictedMs <= request.remainingMs * LOCAL_DEADLINE_SHARE) {
    return toChoice(localChoice, request);
  }
  const remoteChoice = request.crossRegionAllowed ? pickUsable(remote, pool, request, options) : undefined;
  const remoteHelps =
    remoteChoice !== undefined && (remoteChoice.predictedMs <= request.remainingMs || local.length === 0);
  // When the local region is full, the request waits as long as it has time for two more attempts, unless the requests
  // queued behind it would then miss their deadline.
  const hasTime = request.remainingMs > request.tokens * pool.msPerToken * 2;
  const mayWait = localChoice === undefined && local.length > 0 && hasTime && request.localOverloaded !== true;
  if (remoteHelps && !mayWait) {
    return toChoice(remoteChoice, request);
  }
  if (localChoice !== undefined) {
    return toChoice(localChoice, request);
  }
  return live.length > 0 ? { type: 'wait' } : undefined;
}
