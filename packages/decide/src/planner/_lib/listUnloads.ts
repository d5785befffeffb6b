import type { AddressedOrder, DesiredEngine, EngineView, ModelDemand, PlannerInput } from '../types.js';
import hasModel from './hasModel.js';

/** Whether every planned copy of a model is loaded in the wanted version. */
const isComplete = (input: PlannerInput, desired: readonly DesiredEngine[], model: string): boolean => {
  const wanted = desired.flatMap(({ engineId, models }) =>
    models.filter((demand) => demand.model === model).map((demand) => ({ engineId, demand })),
  );
  const isReady = (engine: EngineView, demand: ModelDemand): boolean =>
    hasModel(engine, demand) && !engine.loading.some((order) => 'model' in order && order.model === model);
  return (
    wanted.length > 0 &&
    wanted.every(({ engineId, demand }) =>
      input.engines.some((engine) => engine.engineId === engineId && isReady(engine, demand)),
    )
  );
};

const listSurplus = (engine: EngineView, desired: DesiredEngine | undefined): readonly string[] =>
  Object.keys(engine.models).filter(
    (model) =>
      desired?.models.some((demand) => demand.model === model) !== true &&
      !engine.loading.some((order) => 'model' in order && order.model === model),
  );

/**
 * Lists the models that may be unloaded: those that no service document names, and surplus copies of a model in use
 * once every planned copy is ready. A leaving engine keeps its models until it stops.
 */
export default function listUnloads(input: PlannerInput, desired: readonly DesiredEngine[]): readonly AddressedOrder[] {
  const inUse = new Set(input.demand.map(({ model }) => model));
  return input.engines
    .filter((engine) => !engine.leaving)
    .flatMap((engine) => {
      const desiredEngine = desired.find(({ engineId }) => engineId === engine.engineId);
      return listSurplus(engine, desiredEngine)
        .filter((model) => !inUse.has(model) || isComplete(input, desired, model))
        .map((model): AddressedOrder => ({ engineId: engine.engineId, order: { type: 'unload-model', model } }));
    });
}
