import type { AddressedOrder, DesiredEngine, EngineOrder, EngineView } from '../types.js';
import hasModel from './hasModel.js';

const isSameOrder = (a: EngineOrder, b: EngineOrder): boolean => JSON.stringify(a) === JSON.stringify(b);

const listMissing = (engine: EngineView, desired: DesiredEngine): readonly EngineOrder[] => {
  const models = desired.models
    .filter((demand) => !hasModel(engine, demand))
    .map(({ model, version }): EngineOrder =>
      version === undefined ? { type: 'load-model', model } : { type: 'load-version', model, version },
    );
  const adapters = desired.models
    .flatMap((demand) => demand.adapters)
    .filter((adapter, index, all) => all.indexOf(adapter) === index && !engine.adapters.includes(adapter))
    .map((adapter): EngineOrder => ({ type: 'load-adapter', adapter }));
  return [...models, ...adapters];
};

/** Lists the loads that an engine needs to reach its desired state and has not begun. */
export default function listLoads(engine: EngineView, desired: DesiredEngine): readonly AddressedOrder[] {
  return listMissing(engine, desired)
    .filter((wanted) => !engine.loading.some((order) => isSameOrder(order, wanted)))
    .map((order) => ({ engineId: engine.engineId, order }));
}
