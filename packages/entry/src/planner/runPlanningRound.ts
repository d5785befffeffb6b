import { planEngines, type AddressedOrder, type EngineView, type PlannerLimits } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { EngineReport } from '@bergamotcove/backends';
import type { PoolLease } from './createPoolLease.js';
import type { EnginePort, PlannedEngine, PlannedPool } from './types.js';

/** Options of {@link runPlanningRound}. */
export interface RoundOptions {
  readonly engines: EnginePort;
  readonly lease: PoolLease;
  readonly limits: PlannerLimits;
  readonly logger: Logger;
}

/** An engine that answered, with its report. */
interface EngineReading {
  readonly engine: PlannedEngine;
  readonly report: EngineReport;
}

const readEngines = async (pool: PlannedPool, engines: EnginePort): Promise<readonly EngineReading[]> => {
  const results = await Promise.allSettled(
    pool.engines.map(async (engine): Promise<EngineReading> => ({ engine, report: await engines.read(engine) })),
  );
  return results.flatMap((result) => (result.status === 'fulfilled' ? [result.value] : []));
};

const toView = ({ engine, report }: EngineReading): EngineView => ({
  engineId: engine.engineId,
  leaving: engine.leaving,
  models: report.models,
  adapters: report.adapters,
  role: report.role,
  loading: report.loading,
});

/** Counts the open requests for a model; the requests of an engine with several models are divided equally. */
const countOpenRequests = (answered: readonly EngineReading[], model: string): number =>
  answered
    .filter(({ report }) => report.models[model] !== undefined)
    .reduce((sum, { report }) => sum + report.openRequests / Object.keys(report.models).length, 0);

const sendOrder = async (
  { engineId, order }: AddressedOrder,
  engine: PlannedEngine,
  { engines, lease, logger }: RoundOptions,
): Promise<void> => {
  const fields = { engineId, order: order.type };
  try {
    const fencingNumber = lease.fencingNumber();
    const result = await engines.sendOrder(engine, { fencingNumber, order }, () => lease.isHeld());
    if (result === 'fenced') {
      await lease.release();
    }
    logger.event(result === 'accepted' ? 'engineOrdered' : 'engineOrderFailed', { ...fields, fencingNumber });
  } catch (cause) {
    logger.event('engineOrderFailed', { ...fields, error: String(cause) });
  }
};

/**
 * Reads the engines of a pool, plans, and sends the orders one by one while the lease is held. If an engine did not
 * carry out an order, or an earlier planner overrode it, the next round detects the difference and sends it again.
 *
 * @param pool - the pool
 * @param options - engines, lease, limits and logger
 * @returns the number of orders that were due
 */
export default async function runPlanningRound(pool: PlannedPool, options: RoundOptions): Promise<number> {
  const answered = await readEngines(pool, options.engines);
  // If most engines do not answer, the fault is probably on this side, and a plan for the rest would move weights.
  if (answered.length * 2 < pool.engines.length) {
    options.logger.event('plannerRoundFailed', { pool: pool.pool, answered: answered.length });
    return 0;
  }
  const demand = pool.models.map((model) => ({ ...model, openRequests: countOpenRequests(answered, model.model) }));
  const { orders } = planEngines({ engines: answered.map(toView), demand, limits: options.limits });
  await orders.reduce<Promise<void>>(async (before, order) => {
    await before;
    const engine = pool.engines.find(({ engineId }) => engineId === order.engineId);
    if (engine !== undefined && options.lease.isHeld()) {
      await sendOrder(order, engine, options);
    }
  }, Promise.resolve());
  return orders.length;
}
