import type { PeerAddress } from '@bergamotcove/protocol';
import createVirtualFleet, { type VirtualFleet } from './_lib/createVirtualFleet.js';
import { healAll, runUntil } from './_lib/faults.js';
import type { Figure, Measure } from './types.js';

const TARGET = { hosts: 410, domains: 11, servers: 1_700 };
const QUICK = { hosts: 30, domains: 3, servers: 120 };
const DOCUMENTS = 34;
const SETTLE_MS = 40_000;
const BASE_MS = 20_000;
const WINDOW_MS = 20_000;
const APART_MS = 40_000;
const RACK_HOSTS = 16;
const STEP = { limitMs: 40_000, stepMs: 50 };
const MS_PER_SECOND = 1_000;

interface Totals {
  readonly bytes: number;
  readonly messages: number;
}

const totalsOf = (fleet: VirtualFleet): Totals =>
  fleet.hosts
    .map(({ address }) => fleet.network.traffic(address.hostId))
    .reduce(
      (sum, { datagramBytes, callBytes, storeBytes, listBytes, datagrams, calls, storeCalls, listReads }) => ({
        bytes: sum.bytes + datagramBytes + callBytes + storeBytes + listBytes,
        messages: sum.messages + datagrams + calls + storeCalls + listReads,
      }),
      { bytes: 0, messages: 0 },
    );

/** Runs one event and gives the time to its goal and what it cost beyond the traffic of a quiet fleet. */
const runEvent = async (
  fleet: VirtualFleet,
  base: Totals,
  event: { readonly name: string; readonly start: () => void; readonly done: () => boolean; readonly windowMs: number },
): Promise<readonly Figure[]> => {
  const before = totalsOf(fleet);
  event.start();
  const tookMs = await runUntil(fleet, event.done, STEP);
  await fleet.run(Math.max(0, event.windowMs - tookMs));
  const seconds = Math.max(tookMs, event.windowMs) / MS_PER_SECOND;
  const after = totalsOf(fleet);
  return [
    { name: `${event.name}, time`, value: tookMs, unit: 'ms' },
    {
      name: `${event.name}, messages of the fleet`,
      value: after.messages - before.messages - base.messages * seconds,
      unit: '',
    },
    { name: `${event.name}, bytes of the fleet`, value: after.bytes - before.bytes - base.bytes * seconds, unit: 'B' },
  ];
};

const cutWhere = (fleet: VirtualFleet, isFar: (host: PeerAddress) => boolean): void => {
  Object.assign(fleet.network.faults, { isCut: (from: PeerAddress, to: PeerAddress) => isFar(from) !== isFar(to) });
  Object.assign(fleet.store.faults, { isCut: isFar });
  Object.assign(fleet.list.faults, { isCut: isFar });
};

const heal = (fleet: VirtualFleet): void => {
  healAll(fleet);
  Object.assign(fleet.list.faults, { isCut: () => false });
};

const prepare = async (seed: number, quick: boolean): Promise<{ fleet: VirtualFleet; base: Totals }> => {
  const fleet = createVirtualFleet({ ...(quick ? QUICK : TARGET), seed });
  for (let index = 0; index < DOCUMENTS; index += 1) {
    fleet.accept(`service-${index}`, `first-${index}`).catch(() => undefined);
    await fleet.run(100);
  }
  await fleet.run(SETTLE_MS);
  const before = totalsOf(fleet);
  await fleet.run(BASE_MS);
  const after = totalsOf(fleet);
  const seconds = BASE_MS / MS_PER_SECOND;
  return {
    fleet,
    base: { bytes: (after.bytes - before.bytes) / seconds, messages: (after.messages - before.messages) / seconds },
  };
};

/** Crash and restart of some hosts of the first failure domain. */
const runCrash = async (fleet: VirtualFleet, base: Totals, name: string, indexes: readonly number[]) => {
  const ids = indexes.map((index) => fleet.hosts[index]?.address.hostId ?? '');
  const others = () => fleet.hosts.filter(({ address }) => !ids.includes(address.hostId));
  const allHave = (states: readonly string[]) => () =>
    others().every(({ membership }) =>
      ids.every((id) => states.includes(membership.state().members.get(id)?.state ?? 'unknown')),
    );
  const crash = {
    name: `${name} fails`,
    start: () => indexes.forEach((index) => fleet.crash(index)),
    done: allHave(['dead']),
  };
  const restart = {
    name: `${name} restarts`,
    start: () => indexes.forEach((index) => fleet.start(index)),
    done: () => allHave(['alive'])() && indexes.every((index) => fleet.hosts[index]?.distribution.ready() === true),
  };
  return [
    ...(await runEvent(fleet, base, { ...crash, windowMs: WINDOW_MS })),
    ...(await runEvent(fleet, base, { ...restart, windowMs: WINDOW_MS })),
  ];
};

/** A cut around some hosts, and its end. */
const runCut = async (fleet: VirtualFleet, base: Totals, name: string, isFar: (host: PeerAddress) => boolean) => {
  const total = fleet.hosts.length;
  const far = fleet.hosts.filter(({ address }) => isFar(address)).length;
  const seesOwnSide = () =>
    fleet.hosts.every(
      ({ address, membership }) => membership.liveHosts().length === (isFar(address) ? far : total - far),
    );
  const seesAll = () => fleet.hosts.every(({ membership }) => membership.liveHosts().length === total);
  return [
    ...(await runEvent(fleet, base, {
      name: `${name}, cut`,
      start: () => cutWhere(fleet, isFar),
      done: seesOwnSide,
      windowMs: APART_MS,
    })),
    ...(await runEvent(fleet, base, {
      name: `${name}, healed`,
      start: () => heal(fleet),
      done: seesAll,
      windowMs: WINDOW_MS,
    })),
  ];
};

/** Time, messages and bytes of the events of the target, beyond the traffic of a quiet fleet. */
const measureEvents: Measure = async ({ seed, quick }) => {
  const { fleet, base } = await prepare(seed, quick);
  const { domains } = quick ? QUICK : TARGET;
  const rack = Array.from({ length: quick ? 3 : RACK_HOSTS }, (_, index) => (index + 2) * domains);
  const listed = () =>
    fleet.hosts.every(({ hostList }) => hostList.hosts().find(({ id }) => id === 'server-1')?.state === 'leaving');
  const figures: readonly Figure[] = [
    { name: 'quiet fleet', value: base.bytes, unit: 'B/s' },
    { name: 'quiet fleet', value: base.messages, unit: '1/s' },
    ...(await runEvent(fleet, base, {
      name: 'entry of the host list changes',
      start: () => fleet.setListed('server-1', 'leaving'),
      done: listed,
      windowMs: WINDOW_MS,
    })),
    ...(await runCrash(fleet, base, 'host', [domains])),
    ...(await runCrash(fleet, base, `rack of ${rack.length}`, rack)),
    ...(await runCut(fleet, base, 'failure domain', ({ failureDomain }) => failureDomain === 'domain-1')),
    ...(await runCut(fleet, base, 'regions apart', ({ region }) => region === 'region-1')),
  ];
  fleet.close();
  return { measurement: 'events', seed, figures };
};

export default measureEvents;
