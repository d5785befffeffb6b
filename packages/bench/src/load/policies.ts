import type { LoadPolicy } from './types.js';

const baseline = (name: LoadPolicy['name'], choice: LoadPolicy['choice'], text: string): LoadPolicy => ({
  name,
  text,
  choice,
  admission: false,
  stageQueues: false,
  hedges: false,
  affinity: false,
  longLimit: false,
  spill: false,
  demotion: false,
});

const current: LoadPolicy = {
  name: 'current',
  text: 'all decision functions of this version',
  choice: 'predicted',
  admission: true,
  stageQueues: true,
  hedges: true,
  affinity: true,
  longLimit: true,
  spill: true,
  demotion: true,
};

/** Policies by name: the present one, the baselines, and the present one with one part turned off. */
export const LOAD_POLICIES: readonly LoadPolicy[] = [
  current,
  baseline('random', 'random', 'a random live server of the region'),
  baseline('round-robin', 'round-robin', 'the servers of the region in turn'),
  baseline('least-outstanding', 'least-outstanding', 'fewest outstanding attempts of this host in the region'),
  baseline('previous', 'previous', 'nearest failure domain, then the less loaded of two random servers'),
  baseline('probing', 'probing', 'asks two random servers of the region for their load; the probe itself is free'),
  baseline('rendezvous', 'rendezvous', 'rendezvous hashing of the prefix with a load bound of 1.25 times the mean'),
  { ...current, name: 'no-admission', text: 'current without admission', admission: false },
  { ...current, name: 'no-hedges', text: 'current without hedges', hedges: false },
  { ...current, name: 'no-affinity', text: 'current without prefix affinity', affinity: false },
  { ...current, name: 'no-long-limit', text: 'current without the limit of long work', longLimit: false },
  { ...current, name: 'no-demotion', text: 'current without demotion of stragglers', demotion: false },
  { ...current, name: 'no-spill', text: 'current without another region', spill: false },
];

/** Policies that every report compares. */
export const COMPARED_POLICIES: readonly string[] = [
  'current',
  'previous',
  'least-outstanding',
  'round-robin',
  'random',
];

/** Finds a policy by name. */
export default function findPolicy(name: string): LoadPolicy | undefined {
  return LOAD_POLICIES.find((policy) => policy.name === name);
}
