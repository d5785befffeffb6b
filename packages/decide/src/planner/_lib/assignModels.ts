import type { EngineView, ModelDemand, PlannerInput } from '../types.js';
import countCopies from './countCopies.js';
import hasModel from './hasModel.js';

/** Assigned models by engine id. */
export type Assignment = ReadonlyMap<string, readonly ModelDemand[]>;

/** Ranks an engine for a model: it has the version, has another version, is loading the model, or none of these. */
const rankEngine = (engine: EngineView, demand: ModelDemand): number => {
  if (hasModel(engine, demand)) {
    return 0;
  }
  if (engine.models[demand.model] !== undefined) {
    return 1;
  }
  const loads = engine.loading.some((order) => 'model' in order && order.model === demand.model);
  return loads ? 2 : 3;
};

const assignModel = (assignment: Assignment, demand: ModelDemand, input: PlannerInput): Assignment => {
  const { limits } = input;
  const live = input.engines.filter((engine) => !engine.leaving);
  const countOf = (engine: EngineView): number => assignment.get(engine.engineId)?.length ?? 0;
  const currentCopies = live.filter((engine) => engine.models[demand.model] !== undefined).length;
  const copies = countCopies(demand, currentCopies, { limits, engineCount: live.length });
  const chosen = live
    .filter((engine) => countOf(engine) < limits.maxModelsPerEngine)
    .sort(
      (a, b) =>
        rankEngine(a, demand) - rankEngine(b, demand) ||
        countOf(a) - countOf(b) ||
        a.engineId.localeCompare(b.engineId),
    )
    .slice(0, copies);
  return new Map([
    ...assignment,
    ...chosen.map(({ engineId }) => [engineId, [...(assignment.get(engineId) ?? []), demand]] as const),
  ]);
};

/** Assigns the models in use to live engines, preferably to those that already have them. */
export default function assignModels(input: PlannerInput): Assignment {
  const sorted = [...input.demand].sort((a, b) => a.model.localeCompare(b.model));
  return sorted.reduce<Assignment>((assignment, demand) => assignModel(assignment, demand, input), new Map());
}
