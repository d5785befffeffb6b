import type { EngineView, ModelDemand } from '../types.js';

/** Whether an engine has a model loaded in the wanted version, or in any version if none is wanted. */
export default function hasModel(engine: EngineView, { model, version }: ModelDemand): boolean {
  const loaded = engine.models[model];
  return loaded !== undefined && (version === undefined || loaded === version);
}
