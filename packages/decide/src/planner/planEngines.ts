import assignModels from './_lib/assignModels.js';
import assignRoles from './_lib/assignRoles.js';
import limitLoads from './_lib/limitLoads.js';
import listLoads from './_lib/listLoads.js';
import listUnloads from './_lib/listUnloads.js';
import type { AddressedOrder, DesiredEngine, EnginePlan, PlannerInput } from './types.js';

/** Plans the change of the first role that differs; one engine changes at a time, and the others serve meanwhile. */
const planRoleChange = (input: PlannerInput, desired: readonly DesiredEngine[]): readonly AddressedOrder[] => {
  const isChanging = input.engines.some((engine) => engine.loading.some((order) => order.type === 'set-role'));
  const change = desired.find(({ engineId, role }) =>
    input.engines.some((engine) => engine.engineId === engineId && engine.role !== role),
  );
  return isChanging || change === undefined
    ? []
    : [{ engineId: change.engineId, order: { type: 'set-role', role: change.role } }];
};

/**
 * Plans the models, versions, adapters and roles of the engines of a pool from the reported state and the demand. The
 * plan does not depend on earlier orders, so a new planner corrects what an earlier one ordered.
 *
 * @param input - engines, demand and limits
 * @returns the desired state of each live engine, and the orders that may be sent now: loads within the limit of the
 *   weight store, unloads that leave every model in use its planned copies, and at most one change of role
 * @example
 * const { orders } = planEngines({ engines, demand, limits });
 */
export default function planEngines(input: PlannerInput): EnginePlan {
  const assignment = assignModels(input);
  const roles = assignRoles(input);
  const desired = input.engines
    .filter((engine) => !engine.leaving)
    .map(({ engineId }): DesiredEngine => ({
      engineId,
      models: assignment.get(engineId) ?? [],
      role: roles.get(engineId) ?? 'mixed',
    }));
  const loads = desired.flatMap((wanted) => {
    const engine = input.engines.find(({ engineId }) => engineId === wanted.engineId);
    return engine === undefined ? [] : listLoads(engine, wanted);
  });
  return {
    desired,
    orders: [...limitLoads(input, loads), ...listUnloads(input, desired), ...planRoleChange(input, desired)],
  };
}
