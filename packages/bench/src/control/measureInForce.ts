import createVirtualFleet, { type VirtualFleet } from './_lib/createVirtualFleet.js';
import { cutDomain, healAll, runUntil } from './_lib/faults.js';
import summarise from './_lib/summarise.js';
import type { Figure, Measure } from './types.js';

const SIZES = [9, 30, 60];
const QUICK_SIZES = [9];
const DOMAINS = 3;
const WARM_UP_MS = 6_000;
const LIMIT = { limitMs: 60_000, stepMs: 5 };
const LOSS_RATIO = 0.02;
const SLOW_STORE_MS = 800;
const CUT_MS = 20_000;

/** Time from the call of the operator until the version is in force on the last host. */
const timeAcceptance = async (fleet: VirtualFleet, version: number): Promise<number> => {
  const startMs = fleet.clock.monotonicMs();
  fleet.accept('clerk', `c${version}`).catch(() => undefined);
  await runUntil(fleet, () => fleet.hosts.every((host) => host.versions.get('clerk') === version), LIMIT);
  return fleet.clock.monotonicMs() - startMs;
};

const measureSteady = async (fleet: VirtualFleet, rounds: number, from = 1): Promise<readonly number[]> => {
  const times: number[] = [];
  for (let round = 0; round < rounds; round += 1) {
    await fleet.run(2_000 + 1_000 * fleet.random());
    times.push(await timeAcceptance(fleet, from + round));
  }
  return times;
};

/** Time from the healing of a cut until a version that was accepted during the cut is in force everywhere. */
const measureHealed = async (size: number, seed: number): Promise<number> => {
  const fleet = createVirtualFleet({ hosts: size, domains: DOMAINS, seed });
  await fleet.run(WARM_UP_MS);
  cutDomain(fleet, 'domain-2');
  await fleet.run(CUT_MS);
  fleet.accept('clerk', 'c1').catch(() => undefined);
  await fleet.run(5_000 * fleet.random() + 1_000);
  healAll(fleet);
  const tookMs = await runUntil(fleet, () => fleet.hosts.every((host) => host.versions.get('clerk') === 1), LIMIT);
  fleet.close();
  return tookMs;
};

const measureSize = async (size: number, seed: number, rounds: number): Promise<readonly Figure[]> => {
  const fleet = createVirtualFleet({ hosts: size, domains: DOMAINS, seed });
  Object.assign(fleet.network.faults, { lossRatio: LOSS_RATIO });
  await fleet.run(WARM_UP_MS);
  const steady = await measureSteady(fleet, rounds);
  Object.assign(fleet.store.faults, { delayMs: SLOW_STORE_MS });
  const slow = await measureSteady(fleet, rounds, rounds + 1);
  fleet.close();
  const healed: number[] = [];
  for (let round = 0; round < rounds / 2; round += 1) {
    healed.push(await measureHealed(size, seed + round));
  }
  return [
    ...summarise(`${size} hosts, 2% loss`, steady, 'ms'),
    ...summarise(`${size} hosts, store at ${SLOW_STORE_MS} ms a call`, slow, 'ms'),
    ...summarise(`${size} hosts, after a cut healed`, healed, 'ms'),
  ];
};

/** Acceptance to in force on the last host. */
const measureInForce: Measure = async ({ seed, quick }) => {
  const figures: Figure[] = [];
  for (const size of quick ? QUICK_SIZES : SIZES) {
    figures.push(...(await measureSize(size, seed, quick ? 4 : 40)));
  }
  return { measurement: 'in-force', seed, figures };
};

export default measureInForce;
