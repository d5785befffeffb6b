import type { AddressedOrder, EngineOrder, EngineView, PlannerInput } from '../types.js';

const isLoad = ({ type }: EngineOrder): boolean =>
  type === 'load-model' || type === 'load-version' || type === 'load-adapter';

const replacesModel = (engines: readonly EngineView[], { engineId, order }: AddressedOrder): boolean =>
  order.type === 'load-version' &&
  engines.find((engine) => engine.engineId === engineId)?.models[order.model] !== undefined;

/** Counts the copies of a model on live engines that are loaded and not being replaced. */
const countReady = (engines: readonly EngineView[], model: string): number =>
  engines.filter(
    (engine) =>
      !engine.leaving &&
      engine.models[model] !== undefined &&
      !engine.loading.some((order) => 'model' in order && order.model === model),
  ).length;

/**
 * Limits loads to the number that the weight store can serve at once. New copies come first. A version of a model is
 * replaced on one engine at a time and, if the pool has more than one live engine, only while another copy is ready.
 */
export default function limitLoads(input: PlannerInput, loads: readonly AddressedOrder[]): readonly AddressedOrder[] {
  const { engines, limits } = input;
  const liveCount = engines.filter((engine) => !engine.leaving).length;
  const inProgress = engines.flatMap((engine) => engine.loading).filter(isLoad).length;
  const additions = loads.filter((load) => !replacesModel(engines, load));
  const replacements = loads
    .filter((load) => replacesModel(engines, load))
    .filter(({ order }, index, all) => {
      const model = 'model' in order ? order.model : '';
      const isFirst = all.findIndex((other) => 'model' in other.order && other.order.model === model) === index;
      return isFirst && (countReady(engines, model) > 1 || liveCount === 1);
    });
  return [...additions, ...replacements].slice(0, Math.max(0, limits.maxLoads - inProgress));
}
