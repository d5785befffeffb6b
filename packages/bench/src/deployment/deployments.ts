import type { DeploymentSpec, PoolSpec } from './types.js';

const STAGE_POOLS: readonly PoolSpec[] = [
  { pool: 'encoders', kind: 'encode', servers: 3 },
  { pool: 'retrievers', kind: 'retrieve', servers: 3 },
  { pool: 'rerankers', kind: 'rerank', servers: 3 },
  { pool: 'model-serving', kind: 'generate', servers: 3 },
];

const toCallPools = (names: readonly string[]): readonly PoolSpec[] =>
  names.map((pool) => ({
    pool,
    kind: 'call',
    servers: 3,
  }));

/** Deployment `brescia`: two failure domains in Lombardy, one in Veneto. */
const brescia: DeploymentSpec = {
  name: 'brescia',
  failureDomains: [
    { failureDomain: 'lombardy-1', region: 'lombardy' },
    { failureDomain: 'lombardy-2', region: 'lombardy' },
    { failureDomain: 'veneto-1', region: 'veneto' },
  ],
  entryHosts: 9,
  pools: [
    ...STAGE_POOLS,
    ...toCallPools(['invoice-ledger', 'meter-intake', 'customer-portal', 'clerk-backend-server']),
  ],
  documents: ['model-serving', 'invoice-ledger', 'meter-intake', 'customer-portal', 'clerk-backend-server'],
};

/** Deployment `stille-vaart`: two failure domains in Noord-Holland, one in Friesland. */
const stilleVaart: DeploymentSpec = {
  name: 'stille-vaart',
  failureDomains: [
    { failureDomain: 'noord-holland-1', region: 'noord-holland' },
    { failureDomain: 'noord-holland-2', region: 'noord-holland' },
    { failureDomain: 'friesland-1', region: 'friesland' },
  ],
  entryHosts: 8,
  pools: [...STAGE_POOLS, ...toCallPools(['bookings', 'skipper-rostering', 'partner-portal', 'tide-feed'])],
  documents: ['model-serving', 'bookings', 'skipper-rostering', 'partner-portal', 'tide-feed'],
};

/** Deployments by name. */
export const DEPLOYMENTS: Readonly<Record<string, DeploymentSpec>> = {
  [brescia.name]: brescia,
  [stilleVaart.name]: stilleVaart,
};
