import type { HostStatusAnswer } from '../hosts/schemas.js';

/** How full the pool of a stage is, over all hosts that were asked. */
export interface StageLoad {
  readonly stage: string;
  readonly pool: string;
  readonly servers: number;
  /** Share of the slots in use, 0 to 1 and above when attempts queue at the servers. */
  readonly use: number;
  /** Attempts of the hosts that wait for a server. */
  readonly waiting: number;
}

/** The stage that limits a service and what more of it would give. */
export interface LimitingStage extends StageLoad {
  /** Additional requests as a share of today's that one more server lets through, 0 to 1. */
  readonly gainOfOneServer: number;
  /** The stage that limits next, if the service has another one. */
  readonly next?: StageLoad;
}

/** Below this use and without waiting attempts no stage limits the service. */
const LIMITING_USE = 0.7;

/** Hosts of one region see the same servers; the largest view counts, and the waiting attempts add up. */
const readStage = (stage: string, pool: string, hosts: readonly HostStatusAnswer[]): StageLoad => {
  const views = hosts.flatMap((host) => host.pools?.filter((one) => one.pool === pool) ?? []);
  const uses = views.map(({ running, slots }) => (slots === 0 ? 0 : running / slots));
  return {
    stage,
    pool,
    servers: Math.max(0, ...views.map(({ servers }) => servers)),
    use: Math.max(0, ...uses),
    waiting: views.reduce((sum, { waiting }) => sum + waiting, 0),
  };
};

const compareLoad = (a: StageLoad, b: StageLoad): number => b.waiting - a.waiting || b.use - a.use;

/**
 * Finds the stage that limits a service. Another server of its pool helps by its share of the pool, but not beyond the
 * point at which the next stage is as full.
 *
 * @param service - name of the service
 * @param hosts - status of the hosts
 * @returns the limiting stage, or undefined while every pool has room
 * @example
 * findLimitingStage('invoice-ledger', hosts)?.stage; // 'generate'
 */
export default function findLimitingStage(
  service: string,
  hosts: readonly HostStatusAnswer[],
): LimitingStage | undefined {
  const stages = hosts.flatMap((host) => host.services).find((one) => one.service === service)?.stages ?? [];
  const [first, next] = stages.map(({ stage, pool }) => readStage(stage, pool, hosts)).sort(compareLoad);
  if (first === undefined || (first.use < LIMITING_USE && first.waiting === 0)) {
    return undefined;
  }
  const ofPool = 1 / Math.max(1, first.servers);
  const headroom = next === undefined || next.use === 0 ? ofPool : Math.max(0, first.use / next.use - 1);
  return { ...first, gainOfOneServer: Math.min(ofPool, headroom), ...(next === undefined ? {} : { next }) };
}
