import createVirtualFleet, { type VirtualFleet, type VirtualHost } from './_lib/createVirtualFleet.js';
import { cutDomain, healAll, runUntil } from './_lib/faults.js';
import summarise from './_lib/summarise.js';
import type { Figure, Measure } from './types.js';

const SIZES = [9, 30, 60];
const DOMAINS = 3;
const WARM_UP_MS = 6_000;
const RECOVER_MS = 20_000;
const LIMIT = { limitMs: 60_000, stepMs: 50 };
const LOSS_RATIO = 0.02;
const PAUSE_MS = 1_000;
/** Each host pauses about twice a minute. */
const PAUSE_PERIOD_MS = 30_000;
const MS_PER_HOUR = 3_600_000;

const upHosts = (fleet: VirtualFleet) => fleet.hosts.filter((host) => host.up);

/** Time from a crash to each step of its detection. */
interface CrashTimes {
  readonly suspectedMs: number;
  readonly judgedMs: number;
  readonly domainMs: number;
  readonly everywhereMs: number;
}

const firstReport = (fleet: VirtualFleet, peer: string, state: string, fromMs: number): number => {
  const found = fleet.changes.find(
    ({ atMs, name, fields }) =>
      atMs >= fromMs && name === 'memberChanged' && fields.peer === peer && fields.state === state,
  );
  return (found?.atMs ?? Infinity) - fromMs;
};

const timeCrash = async (fleet: VirtualFleet): Promise<CrashTimes> => {
  const index = Math.floor(fleet.random() * fleet.hosts.length);
  const { hostId, failureDomain } = (fleet.hosts[index] as VirtualHost).address;
  await fleet.run(1_000 * fleet.random());
  const fromMs = fleet.clock.monotonicMs();
  fleet.changes.splice(0);
  fleet.crash(index);
  const knows = (host: VirtualHost) => host.membership.liveHosts().every((peer) => peer.hostId !== hostId);
  const inDomain = () => upHosts(fleet).filter((host) => host.address.failureDomain === failureDomain);
  const domainMs = await runUntil(fleet, () => inDomain().every(knows), LIMIT);
  const restMs = await runUntil(fleet, () => upHosts(fleet).every(knows), LIMIT);
  const suspectedMs = firstReport(fleet, hostId, 'suspect', fromMs);
  const judgedMs = firstReport(fleet, hostId, 'dead', fromMs);
  fleet.start(index);
  await fleet.run(RECOVER_MS);
  return { suspectedMs, judgedMs, domainMs, everywhereMs: domainMs + restMs };
};

const timeLeaving = async (fleet: VirtualFleet): Promise<number> => {
  const index = Math.floor(fleet.random() * fleet.hosts.length);
  const host = fleet.hosts[index];
  const hostId = host?.address.hostId ?? '';
  host?.membership.announceLeaving();
  const known = () =>
    fleet.hosts.every((other) => other === host || other.membership.state().members.get(hostId)?.state === 'leaving');
  const tookMs = await runUntil(fleet, known, LIMIT);
  fleet.crash(index);
  fleet.start(index);
  await fleet.run(RECOVER_MS);
  return tookMs;
};

const timeDomainLoss = async (fleet: VirtualFleet): Promise<number> => {
  await fleet.run(1_000 * fleet.random());
  cutDomain(fleet, 'domain-2');
  const outside = fleet.hosts.filter(({ address }) => address.failureDomain !== 'domain-2');
  const known = () => outside.every((host) => host.membership.state().domains.get('domain-2')?.state === 'lost');
  const tookMs = await runUntil(fleet, known, LIMIT);
  healAll(fleet);
  await fleet.run(RECOVER_MS);
  return tookMs;
};

/** Suspicions and verdicts on hosts that are live, with loss and pauses. */
const countFalseSuspicions = async (hosts: number, seed: number, durationMs: number): Promise<readonly Figure[]> => {
  const fleet = createVirtualFleet({ hosts, domains: DOMAINS, seed });
  await fleet.run(WARM_UP_MS);
  Object.assign(fleet.network.faults, { lossRatio: LOSS_RATIO });
  const stepMs = PAUSE_PERIOD_MS / hosts;
  fleet.changes.splice(0);
  for (let atMs = 0; atMs < durationMs; atMs += stepMs) {
    fleet.pause(Math.floor(fleet.random() * hosts), PAUSE_MS);
    await fleet.run(stepMs);
  }
  const hostHours = (hosts * durationMs) / MS_PER_HOUR;
  const refuted = fleet.hosts.reduce((sum, { membership }) => sum + membership.state().incarnation, 0);
  const states = fleet.changes.filter(({ name }) => name === 'memberChanged').map(({ fields }) => fields.state);
  const lost = fleet.changes.filter(({ name, fields }) => name === 'domainChanged' && fields.state === 'lost');
  fleet.close();
  return [
    { name: `${hosts} hosts, refuted suspicions`, value: refuted / hostHours, unit: '1/host-hour' },
    {
      name: `${hosts} hosts, false verdicts`,
      value: (states.filter((state) => state === 'dead').length + lost.length) / hostHours,
      unit: '1/host-hour',
    },
  ];
};

const CRASH_STEPS = [
  ['suspectedMs', 'first suspected'],
  ['judgedMs', 'first verdict'],
  ['domainMs', 'known in its failure domain'],
  ['everywhereMs', 'known everywhere'],
] as const;

const measureSize = async (hosts: number, seed: number, rounds: number): Promise<readonly Figure[]> => {
  const fleet = createVirtualFleet({ hosts, domains: DOMAINS, seed });
  await fleet.run(WARM_UP_MS);
  const times: { crash: CrashTimes[]; leaving: number[]; domain: number[] } = { crash: [], leaving: [], domain: [] };
  for (let round = 0; round < rounds; round += 1) {
    times.crash.push(await timeCrash(fleet));
    times.leaving.push(await timeLeaving(fleet));
    times.domain.push(await timeDomainLoss(fleet));
  }
  fleet.close();
  return [
    ...CRASH_STEPS.flatMap(([field, name]) =>
      summarise(
        `${hosts} hosts, crash ${name}`,
        times.crash.map((step) => step[field]),
        'ms',
      ),
    ),
    ...summarise(`${hosts} hosts, leaving known everywhere`, times.leaving, 'ms'),
    ...summarise(`${hosts} hosts, lost failure domain known outside`, times.domain, 'ms'),
  ];
};

/** Detection times, and suspicions of live hosts with 2% loss and pauses of 1 s. */
const measureDetection: Measure = async ({ seed, quick }) => {
  const figures: Figure[] = [];
  for (const hosts of quick ? [9] : SIZES) {
    figures.push(...(await measureSize(hosts, seed, quick ? 2 : 10)));
    figures.push(...(await countFalseSuspicions(hosts, seed, quick ? 60_000 : 600_000)));
  }
  return { measurement: 'detection', seed, figures };
};

export default measureDetection;
