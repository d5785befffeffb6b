import type { AcceptedDocument, StageSpec } from '@bergamotcove/config';
import type { ServerDescription } from '@bergamotcove/decide';
import type { PlannedEngine, PlannedPool } from './types.js';

/** A generation stage and the time at which its service document was accepted. */
interface GenerateStage {
  readonly stage: StageSpec;
  readonly acceptedAtMs: number;
}

const listStages = (documents: readonly AcceptedDocument[]): readonly GenerateStage[] =>
  documents
    .flatMap(({ document, acceptedAtMs }) => document.stages.map((stage) => ({ stage, acceptedAtMs })))
    .filter(({ stage }) => stage.kind === 'generate' && stage.model !== undefined);

/** Lists the models of a pool. If documents name different versions of a model, the last accepted document wins. */
const listModels = (stages: readonly GenerateStage[]): PlannedPool['models'] => {
  const names = [...new Set(stages.map(({ stage }) => stage.model as string))].sort();
  return names.map((model) => {
    const named = stages.filter(({ stage }) => stage.model === model).sort((a, b) => b.acceptedAtMs - a.acceptedAtMs);
    const version = named.find(({ stage }) => stage.modelVersion !== undefined)?.stage.modelVersion;
    const adapters = [...new Set(named.flatMap(({ stage }) => stage.adapters ?? []))].sort();
    return { model, adapters, ...(version === undefined ? {} : { version }) };
  });
};

const toEngine = (server: ServerDescription): PlannedEngine => ({
  engineId: server.serverId,
  target: { address: server.address, port: server.port },
  leaving: server.state === 'leaving',
});

/**
 * Lists the pools of engines and the models that the service documents in force name for them.
 *
 * @param documents - service documents in force
 * @param listPool - lists the servers of a pool
 * @returns the pools that generation stages name, sorted by name
 */
export default function listPlannedPools(
  documents: readonly AcceptedDocument[],
  listPool: (pool: string) => readonly ServerDescription[],
): readonly PlannedPool[] {
  const stages = listStages(documents);
  const pools = [...new Set(stages.map(({ stage }) => stage.pool))].sort();
  return pools.map((pool) => ({
    pool,
    engines: listPool(pool).map(toEngine),
    models: listModels(stages.filter(({ stage }) => stage.pool === pool)),
  }));
}
