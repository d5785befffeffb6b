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
 * Each host may always have one attempt at a server: reports of the other hosts' attempts are too old to keep a host
 * away from a server whose attempts are shorter than the lag.
 */
const hasRoom = (server: ServerView, request: DispatchRequest, random: Random): boolean => {
  if (server.outstanding > 0 && server.outstanding + random() >= server.window) {
    return false;
  }
  return !request.long || server.longOutstanding < Math.max(1, Math.floor(server.window * LONG_LIMIT_SHARE));
};

/** A demoted server is due for one probe at a time; a request with little time left does not take the risk. */
const isProbeDue = (server: ServerView, request: DispatchRequest): boolean =>
  !request.long && request.avoidServers.length === 0 && request.nowMs - server.lastSentAtMs >= PROBE_INTERVAL_MS;

const pickRandom = <Item>(items: readonly Item[], random: Random): Item | undefined =>
  items[Math.floor(random() * items.length)];

const better = (a: Candidate, b: Candidate): Candidate => (b.predictedMs < a.predictedMs ? b : a);

/** The server with the largest expected prefix saving, unless it carries more than its bounded load. */
const findAffine = (candidates: readonly Candidate[], request: DispatchRequest): Candidate | undefined => {
  const saved = (candidate: Candidate): number => request.savedTokens?.get(candidate.server.serverId) ?? 0;
  const total = candidates.reduce((sum, candidate) => sum + estimateLoad(candidate.server) + 1, 0);
  const bound = (total / candidates.length) * BOUNDED_LOAD_FACTOR;
  return candidates
    .filter((candidate) => saved(candidate) > 0 && estimateLoad(candidate.server) + 1 <= bound)
    .reduce<Candidate | undefined>((best, one) => (best && saved(best) >= saved(one) ? best : one), undefined);
};

/**
 * Draws from the servers with the fewest attempts of this host. A host's own count is exact and its attempts spread
 * evenly by it; predictions rest on old reports and estimated lengths, so they decide only between equal counts.
 */
const pickAmong = (
  servers: readonly ServerView[],
  pool: PoolView,
  request: DispatchRequest,
  random: Random,
): Candidate | undefined => {
  const candidates = servers.map((server) => ({ server, predictedMs: predictCompletion(server, pool, request) }));
  const fewest = Math.min(...servers.map((server) => server.outstanding));
  const even = candidates.filter(({ server }) => server.outstanding === fewest);
  const first = pickRandom(even, random);
  const second = pickRandom(even, random);
  if (first === undefined || second === undefined) {
    return undefined;
  }
  const drawn = better(first, second);
  const affine = findAffine(candidates, request);
  return affine === undefined ? drawn : better(drawn, affine);
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
  // A demoted server takes part with a probability that falls with its slowness.
  const taking = usable.filter((server) => !demoted.has(server.serverId) || random() < 1 / server.slowness ** 2);
  return pickAmong(taking.length > 0 ? taking : usable, pool, request, random);
};

/**
 * Servers that may get the attempt. A suspected failure domain is avoided before a server that this request avoids: a
 * server that was slow may answer this time, but one behind a cut does not.
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
 * Chooses a backend server for one attempt by predicted completion. Local servers come first; another region is used
 * only when it meets a deadline that the local region cannot meet and the byte budget has room.
 *
 * @param pool - servers of one pool as this host sees them
 * @param request - facts of the attempt
 * @param random - random source
 * @returns the choice, or undefined when no live server remains
 * @example
 * const choice = chooseServer(pool, request, random);
 */
export default function chooseServer(pool: PoolView, request: DispatchRequest, random: Random): Choice | undefined {
  const live = pool.servers.filter((server) => server.state === 'live');
  const allowed = selectAllowed(live, request);
  // The bound on demotions is for the whole pool; a region of two servers must be able to demote one.
  const options = { demoted: limitDemotions(live), random };
  const local = allowed.filter((server) => server.region === request.region);
  const remote = allowed.filter((server) => server.region !== request.region);
  const near = pickUsable(local, pool, request, options);
  if (near !== undefined && near.predictedMs <= request.remainingMs * LOCAL_DEADLINE_SHARE) {
    return toChoice(near, request);
  }
  const far = request.crossRegionAllowed ? pickUsable(remote, pool, request, options) : undefined;
  const farHelps = far !== undefined && (far.predictedMs <= request.remainingMs || local.length === 0);
  // A full local region is waited for while the time left allows another turn, unless requests behind this one would
  // then miss their deadline.
  const hasTime = request.remainingMs > request.tokens * pool.msPerToken * 2;
  const mayWait = near === undefined && local.length > 0 && hasTime && request.localOverloaded !== true;
  if (farHelps && !mayWait) {
    return toChoice(far, request);
  }
  if (near !== undefined) {
    return toChoice(near, request);
  }
  return live.length > 0 ? { type: 'wait' } : undefined;
}
