import type { StageClient } from '../stages/createStageClient.js';
import type { StageResults } from '../stages/runStages.js';
import type { ForwardRequest } from './types.js';

/** Results of the stages of one request, which take up room at their servers until they are given up. */
export default class HeldResults {
  private results: StageResults | undefined;

  private region = '';

  constructor(
    private readonly request: ForwardRequest,
    private readonly client: StageClient,
  ) {}

  /** Handles of the last stages; undefined while there are none. */
  get last(): readonly string[] | undefined {
    return this.results?.last;
  }

  /** Whether the request can be sent: it has no stages, or their results exist. */
  get complete(): boolean {
    return this.request.route.stages.length === 0 || this.results !== undefined;
  }

  /** Keeps results that lie in a region. */
  keep(results: StageResults, region: string): void {
    this.results = results;
    this.region = region;
  }

  /** Results of the last stages with the usual size of each. */
  listLast(): readonly { readonly result: string; readonly resultBytes: number }[] {
    const { stages } = this.request.route;
    const followed = new Set(stages.flatMap(({ after }) => after));
    return stages.flatMap(({ resultBytes }, stage) =>
      followed.has(stage) ? [] : (this.results?.byStage[stage] ?? []).map((result) => ({ result, resultBytes })),
    );
  }

  /** The results do not exist any more. */
  forget(): void {
    this.results = undefined;
  }

  /** The results were fetched; they are kept only while there is room, in case that they are needed again. */
  spare(): void {
    const { results } = this;
    this.request.route.stages.forEach(({ pool }, stage) => {
      this.client.spare(this.region, pool, results?.byStage[stage] ?? []);
    });
  }

  /** Gives the results up. */
  release(): void {
    const { results } = this;
    this.results = undefined;
    if (results !== undefined) {
      this.request.route.stages.forEach(({ pool }, stage) => {
        this.client.release(this.region, pool, results.byStage[stage] ?? []);
      });
    }
  }
}
