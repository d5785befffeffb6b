import type { DeploymentModel, PoolModel } from '../types.js';

const LINK_BYTES_PER_SECOND = 2_500_000;

const engines = (servers: number): PoolModel => ({
  stage: 'generate',
  servers,
  slots: 16,
  msPerToken: 6,
  batchSlope: 0.5,
});

/** Stage pools carry at least 1.3 times the load at which the engines are full, so that engines are the bottleneck. */
const stagePools = (servers: number): readonly PoolModel[] => [
  { stage: 'encode', servers, slots: 1, msPerToken: 9, batchSlope: 0 },
  { stage: 'retrieve', servers, slots: 1, msPerToken: 11, batchSlope: 0 },
  { stage: 'rerank', servers, slots: 1, msPerToken: 12, batchSlope: 0 },
  { stage: 'call', servers, slots: 1, msPerToken: 10, batchSlope: 0 },
];

const places = (near: string, far: string) => [
  { failureDomain: `${near}-1`, region: near },
  { failureDomain: `${near}-2`, region: near },
  { failureDomain: `${far}-1`, region: far },
];

/** Sizes of the two deployments. */
export const DEPLOYMENT_MODELS: Readonly<Record<string, DeploymentModel>> = {
  brescia: {
    name: 'brescia',
    failureDomains: places('lombardy', 'veneto'),
    entryHosts: 9,
    pools: [...stagePools(4), engines(8)],
    linkBytesPerSecond: LINK_BYTES_PER_SECOND,
  },
  'stille-vaart': {
    name: 'stille-vaart',
    failureDomains: places('noord-holland', 'friesland'),
    entryHosts: 8,
    pools: [...stagePools(3), engines(6)],
    linkBytesPerSecond: LINK_BYTES_PER_SECOND,
  },
};
