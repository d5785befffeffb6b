import type { Clock } from '@bergamotcove/clock';
import type { DrainTimes } from '@bergamotcove/decide';
import type { PoolQueues } from '@bergamotcove/entry';
import type { Logger } from '@bergamotcove/log';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';
import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import type { CrashGuard } from '../crashes/createCrashGuard.js';
import type { RateLimits } from '../limits/createRateLimits.js';
import type { StageFormat } from '../ports.js';
import type { SchedulerClient } from '../scheduling/createSchedulerClient.js';
import type { AnswerMemory } from '../servers/createAnswerMemory.js';
import type { StageClient } from '../stages/createStageClient.js';
import type { OpeningPorts } from './openChecked.js';
import type { BindingPorts } from './StreamBinding.js';

/** Dependencies of `ForwardRun`. */
export interface ForwardPorts extends OpeningPorts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly directory: BackendDirectory;
  readonly limits: RateLimits;
  readonly queues: PoolQueues;
  readonly stages: StageClient;
  readonly stageFormat: StageFormat;
  readonly scheduler: SchedulerClient;
  readonly region: string;
  readonly failureDomain: string;
  readonly random: () => number;
  readonly metrics: ScrapedMetrics;
  readonly crashes: CrashGuard;
  readonly answerMemory: AnswerMemory;
  readonly origins: BindingPorts['origins'];
  /** Start and end of the drain of this host; undefined before it begins. */
  readonly drain: () => DrainTimes | undefined;
  /** Spends one retry of the budget of a pool; false when the budget is exhausted. */
  readonly spendRetry: (pool: string) => boolean;
}
