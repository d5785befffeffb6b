import type { Random } from '@bergamotcove/decide';
import createRandomSource from '../_lib/createRandomSource.js';
import { drawExponential, drawLogNormal, drawShare } from '../_lib/sampling.js';
import { LENGTH_SIGMA, MAX_LENGTH_FACTOR, SERVICE_SIGMA } from '../constants.js';
import type { Arrival, DeploymentModel, LoadScenario, OperationLoad } from '../types.js';
import computeCapacity from './computeCapacity.js';

/** Longest step of the thinning; the load function must not change much within it. */
const MAX_STEP_MS = 50;

const drawLength = (operation: OperationLoad, random: Random): number => {
  const drawn = drawLogNormal(operation.meanOutputTokens, LENGTH_SIGMA, random);
  return Math.max(1, Math.round(Math.min(drawn, operation.meanOutputTokens * MAX_LENGTH_FACTOR)));
};

const drawEstimateFactor = (factor: number, random: Random): number => {
  const draw = random();
  if (factor === 1) {
    return 1;
  }
  return draw < 0.5 ? factor : 1 / factor;
};

const drawTimes = (
  scenario: LoadScenario,
  options: { readonly capacity: number; readonly regionIndex: number; readonly random: Random },
): readonly number[] => {
  const times: number[] = [];
  let atMs = 0;
  while (atMs < scenario.durationMs) {
    const perMs = options.capacity * scenario.loadAt(atMs, options.regionIndex);
    const gapMs = perMs > 0 ? drawExponential(1 / perMs, options.random) : MAX_STEP_MS;
    if (gapMs >= MAX_STEP_MS) {
      // The exponential distribution has no memory, so the draw starts again with the rate of the next step.
      atMs += MAX_STEP_MS;
    } else {
      atMs += gapMs;
      times.push(atMs);
    }
  }
  return times;
};

const hostsOfDomain = (deployment: DeploymentModel, domainIndex: number): readonly number[] =>
  Array.from({ length: deployment.entryHosts }, (_, index) => index).filter(
    (index) => index % deployment.failureDomains.length === domainIndex,
  );

/**
 * Draws the offered load of a run. It depends on the seed only, so every policy meets the same requests.
 *
 * @param scenario - load over time and mix
 * @param deployment - sizes
 * @param seed - seed of the run
 * @returns arrivals in order of time
 */
export default function generateArrivals(
  scenario: LoadScenario,
  deployment: DeploymentModel,
  seed: number,
): readonly Arrival[] {
  const regions = [...new Set(deployment.failureDomains.map((place) => place.region))];
  const arrivals = deployment.failureDomains.flatMap((place, domainIndex) => {
    const random = createRandomSource(seed, domainIndex + 1);
    const hosts = hostsOfDomain(deployment, domainIndex);
    const capacity = computeCapacity(scenario, deployment, domainIndex);
    const regionIndex = regions.indexOf(place.region);
    return drawTimes(scenario, { capacity, regionIndex, random }).map((atMs) => {
      const organisation = drawShare(scenario.organisations, random);
      const operation = drawShare(scenario.operations, random);
      return {
        atMs,
        domainIndex,
        hostIndex: hosts[Math.floor(random() * hosts.length)] as number,
        organisation: organisation.name,
        weight: organisation.weight,
        operation,
        outputTokens: drawLength(operation, random),
        stageFactors: operation.stages.map(() => drawLogNormal(1, SERVICE_SIGMA, random)),
        estimateFactor: drawEstimateFactor(scenario.estimateErrorFactor, random),
      };
    });
  });
  return [...arrivals].sort((a, b) => a.atMs - b.atMs).map((arrival, id) => ({ id, ...arrival }));
}
