import type { StageClient } from '../stages/createStageClient.js';
import type { StageResults } from '../stages/runStages.js';
import type { SizedResults } from '../stages/sumBytesByDomain.js';
import type { ForwardRequest } from './types.js';

/** Stage results of one request. They use memory of their servers until they are released. */
export default class HeldResults {
  private results: StageResults | undefined;

  /** Region by stage. */
  private regions: readonly string[] = [];

  constructor(
    private readonly request: ForwardRequest,
    private readonly client: StageClient,
  ) {}

  /** Handles of the results of the last stages; undefined while there are none. */
  get last(): readonly string[] | undefined {
    return this.results?.last;
  }

  /** Whether the request can be sent: it has no stages, or their results exist. */
  get complete(): boolean {
    return this.request.route.stages.length === 0 || this.results !== undefined;
  }

  /** Stores the results and the regions of their stages. */
  keep(results: StageResults, regionOf: (stage: number) => string): void {
    this.results = results;
    this.regions = this.request.route.stages.map((_, stage) => regionOf(stage));
  }

  /** Results of the last stages, with the typical size of one result of each stage. */
  listLast(): readonly SizedResults[] {
    const { stages } = this.request.route;
    const followed = new Set(stages.flatMap(({ after }) => after));
    return stages.flatMap(({ resultBytes }, stage) =>
      followed.has(stage) ? [] : [{ results: this.results?.byStage[stage] ?? [], resultBytes }],
    );
  }

  /** Drops the handles of results that no longer exist. */
  forget(): void {
    this.results = undefined;
  }

  /** Lets the servers evict the results, which were fetched. They are kept while there is memory, for a retry. */
  markEvictable(): void {
    const { results } = this;
    this.request.route.stages.forEach(({ pool }, stage) => {
      this.client.markEvictable(this.regions[stage] ?? '', pool, results?.byStage[stage] ?? []);
    });
  }

  /** Releases the results at their servers. */
  release(): void {
    const { results } = this;
    this.results = undefined;
    if (results !== undefined) {
      this.request.route.stages.forEach(({ pool }, stage) => {
        this.client.release(this.regions[stage] ?? '', pool, results.byStage[stage] ?? []);
      });
    }
  }
}
