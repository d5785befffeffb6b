import type { EngineView, ModelDemand } from '../types.js';

/** Whether an engine has a model in the wanted version. */
export default function hasModel(engine: EngineView, { model, version }: ModelDemand): boolean {
  const loaded = engine.models[model];
  return loaded !== undefined && (version === undefined || loaded === version);
}
