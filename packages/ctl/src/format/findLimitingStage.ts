import type { HostStatusAnswer } from '../hosts/schemas.js';

/** Load of the pool of a stage, over all hosts that were asked. */
export interface StageLoad {
  readonly stage: string;
  readonly pool: string;
  readonly servers: number;
  /** Share of the slots in use; above 1 when attempts queue at the servers. */
  readonly utilisation: number;
  /** Attempts of the hosts that wait for a server. */
  readonly waiting: number;
}

/** The stage that limits a service, and the gain from one more server. */
export interface LimitingStage extends StageLoad {
  /** Additional requests that one more server allows, as a share of the current ones, 0 to 1. */
  readonly gainFromOneServer: number;
  /** The stage that limits next, if the service has another one. */
  readonly next?: StageLoad;
}

/** Below this utilisation and without waiting attempts, no stage limits the service. */
const LIMITING_UTILISATION = 0.7;

/** Takes the maximum over the hosts, because those of one region see the same servers, and sums the waiting attempts. */
const readStage = (stage: string, pool: string, hosts: readonly HostStatusAnswer[]): StageLoad => {
  const views = hosts.flatMap((host) => host.pools?.filter((status) => status.pool === pool) ?? []);
  const utilisations = views.map(({ running, slots }) => (slots === 0 ? 0 : running / slots));
  return {
    stage,
    pool,
    servers: Math.max(0, ...views.map(({ servers }) => servers)),
    utilisation: Math.max(0, ...utilisations),
    waiting: views.reduce((sum, { waiting }) => sum + waiting, 0),
  };
};

const compareLoad = (a: StageLoad, b: StageLoad): number => b.waiting - a.waiting || b.utilisation - a.utilisation;

/**
 * Finds the stage that limits a service. One more server of its pool adds its share of the pool, but at most up to the
 * load at which the next stage limits the service.
 *
 * @param service - name of the service
 * @param hosts - status of the hosts
 * @returns the limiting stage, or undefined while every pool has free capacity
 * @example
 * findLimitingStage('invoice-ledger', hosts)?.stage; // 'generate'
 */
export default function findLimitingStage(
  service: string,
  hosts: readonly HostStatusAnswer[],
): LimitingStage | undefined {
  const stages = hosts.flatMap((host) => host.services).find((entry) => entry.service === service)?.stages ?? [];
  const [first, next] = stages.map(({ stage, pool }) => readStage(stage, pool, hosts)).sort(compareLoad);
  if (first === undefined || (first.utilisation < LIMITING_UTILISATION && first.waiting === 0)) {
    return undefined;
  }
  const poolShare = 1 / Math.max(1, first.servers);
  const gainLimit =
    next === undefined || next.utilisation === 0 ? poolShare : Math.max(0, first.utilisation / next.utilisation - 1);
  return { ...first, gainFromOneServer: Math.min(poolShare, gainLimit), ...(next === undefined ? {} : { next }) };
}
