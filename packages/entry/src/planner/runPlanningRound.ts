import { planEngines, type AddressedOrder, type EngineView, type PlannerLimits } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { EngineReport } from '@bergamotcove/backends';
import type { PoolLease } from './createPoolLease.js';
import type { EnginePort, PlannedEngine, PlannedPool } from './types.js';

/** What one round needs. */
export interface RoundParts {
  readonly engines: EnginePort;
  readonly lease: PoolLease;
  readonly limits: PlannerLimits;
  readonly logger: Logger;
}

/** An engine that answered. */
interface Answered {
  readonly engine: PlannedEngine;
  readonly report: EngineReport;
}

const readEngines = async (pool: PlannedPool, engines: EnginePort): Promise<readonly Answered[]> => {
  const results = await Promise.allSettled(
    pool.engines.map(async (engine): Promise<Answered> => ({ engine, report: await engines.read(engine) })),
  );
  return results.flatMap((result) => (result.status === 'fulfilled' ? [result.value] : []));
};

const toView = ({ engine, report }: Answered): EngineView => ({
  engineId: engine.engineId,
  leaving: engine.leaving,
  models: report.models,
  adapters: report.adapters,
  role: report.role,
  loading: report.loading,
});

/** Open requests for a model: an engine with several models is counted for each in equal parts. */
const countOpenRequests = (answered: readonly Answered[], model: string): number =>
  answered
    .filter(({ report }) => report.models[model] !== undefined)
    .reduce((sum, { report }) => sum + report.openRequests / Object.keys(report.models).length, 0);

const giveOne = async (
  { engineId, order }: AddressedOrder,
  engine: PlannedEngine,
  { engines, lease, logger }: RoundParts,
): Promise<void> => {
  const fields = { engineId, order: order.type };
  try {
    const fencingNumber = lease.fencingNumber();
    const result = await engines.give(engine, { fencingNumber, order }, () => lease.isHeld());
    if (result === 'fenced') {
      await lease.release();
    }
    logger.event(result === 'accepted' ? 'engineOrdered' : 'engineOrderFailed', { ...fields, fencingNumber });
  } catch (cause) {
    logger.event('engineOrderFailed', { ...fields, error: String(cause) });
  }
};

/**
 * Reads the engines of a pool, plans, and gives the orders one after the other while the lease is held. An order that
 * an engine did not take, or that an earlier planner overrode, shows up in the next reading and is given again.
 *
 * @param pool - the pool
 * @param parts - engines, lease and limits
 * @returns the number of orders that were due
 */
export default async function runPlanningRound(pool: PlannedPool, parts: RoundParts): Promise<number> {
  const answered = await readEngines(pool, parts.engines);
  // With most engines silent the fault is more likely on this host's side, and a plan for the rest would move weights.
  if (answered.length * 2 < pool.engines.length) {
    parts.logger.event('plannerRoundFailed', { pool: pool.pool, answered: answered.length });
    return 0;
  }
  const demand = pool.models.map((model) => ({ ...model, openRequests: countOpenRequests(answered, model.model) }));
  const { orders } = planEngines({ engines: answered.map(toView), demand, limits: parts.limits });
  await orders.reduce<Promise<void>>(async (before, order) => {
    await before;
    const engine = pool.engines.find(({ engineId }) => engineId === order.engineId);
    if (engine !== undefined && parts.lease.isHeld()) {
      await giveOne(order, engine, parts);
    }
  }, Promise.resolve());
  return orders.length;
}
