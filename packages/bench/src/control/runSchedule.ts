import createRandom from './_lib/createRandom.js';
import createVirtualFleet, { type VirtualFleet } from './_lib/createVirtualFleet.js';
import { headKey } from './_lib/createVirtualStore.js';
import { cutDomain, healAll } from './_lib/faults.js';

/** Result of one schedule. */
export interface ScheduleResult {
  readonly seed: number;
  readonly steps: readonly string[];
  /** Documents that replaced a higher version, over all hosts. */
  readonly reverted: number;
  readonly accepted: number;
  /** Hosts that do not hold the store's heads after everything has healed. */
  readonly behind: readonly string[];
}

const HOSTS = 6;
const DOMAINS = 3;
const STEPS = 14;
const SERVICES = ['clerk', 'portal'];
const STEP_MS = 2_500;
const HEAL_MS = 12_000;
const PAUSE_MS = 8_000;

type Step = (fleet: VirtualFleet, random: () => number, count: (type: string) => void) => void;

const pick = <Item>(items: readonly Item[], random: () => number): Item =>
  items[Math.floor(random() * items.length)] as Item;

const accept: Step = (fleet, random, count) => {
  fleet
    .accept(pick(SERVICES, random), String(random()))
    .then(({ type }) => count(type))
    .catch(() => count('failed'));
};

/** Faults and changes that a schedule draws from. */
const STEP_KINDS: Readonly<Record<string, Step>> = {
  accept,
  race: (fleet, random, count) => {
    accept(fleet, random, count);
    accept(fleet, random, count);
  },
  'store-down': (fleet) => Object.assign(fleet.store.faults, { down: true }),
  'store-up': (fleet) => Object.assign(fleet.store.faults, { down: false, delayMs: 2 }),
  'store-slow': (fleet) => Object.assign(fleet.store.faults, { delayMs: 700 }),
  'lost-replies': (fleet) => {
    Object.assign(fleet.store.faults, { lostReplyRatio: 0.3 });
    Object.assign(fleet.network.faults, { lostReplyRatio: 0.3 });
  },
  'stale-reads': (fleet) => Object.assign(fleet.store.faults, { staleReadRatio: 0.5 }),
  loss: (fleet) => Object.assign(fleet.network.faults, { lossRatio: 0.2 }),
  pause: (fleet, random) => fleet.pause(Math.floor(random() * HOSTS), PAUSE_MS * random()),
  cut: (fleet, random) => cutDomain(fleet, `domain-${Math.floor(random() * DOMAINS)}`),
  heal: healAll,
  restart: (fleet, random) => {
    const index = Math.floor(random() * HOSTS);
    fleet.crash(index);
    fleet.start(index);
  },
};

const listBehind = (fleet: VirtualFleet): readonly string[] =>
  fleet.hosts.flatMap((host) =>
    SERVICES.filter((service) => {
      const head = fleet.store.entry(headKey(service));
      const version = head === undefined ? 0 : (JSON.parse(head.value) as { readonly version: number }).version;
      return (host.versions.get(service) ?? 0) !== version;
    }).map((service) => `${host.address.hostId}/${service}`),
  );

/**
 * Runs a random schedule of races, outages, lost replies, stale reads, pauses, cuts and restarts.
 *
 * @param seed - seed of the schedule and of everything else that is random
 * @returns reverted versions, and hosts that did not catch up after everything healed
 */
export default async function runSchedule(seed: number): Promise<ScheduleResult> {
  const fleet = createVirtualFleet({ hosts: HOSTS, domains: DOMAINS, seed });
  const random = createRandom(seed + 1);
  const steps: string[] = [];
  let accepted = 0;
  const count = (type: string): void => {
    accepted += type === 'accepted' ? 1 : 0;
  };
  let reverted = 0;
  const replaced = new Set(fleet.hosts);
  for (let step = 0; step < STEPS; step += 1) {
    const kind = pick(Object.keys(STEP_KINDS), random);
    steps.push(kind);
    STEP_KINDS[kind]?.(fleet, random, count);
    await fleet.run(STEP_MS * random());
    fleet.hosts.forEach((host) => replaced.add(host));
  }
  healAll(fleet);
  await fleet.run(HEAL_MS);
  replaced.forEach((host) => {
    reverted += host.reverted;
  });
  fleet.close();
  return { seed, steps, reverted, accepted, behind: listBehind(fleet) };
}
