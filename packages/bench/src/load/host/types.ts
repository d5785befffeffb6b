import type { AdmissionRequest, PlannedStage, RequestPlan, ServerDescription } from '@bergamotcove/decide';
import type { AttemptMonitor, WaitingAttempt } from '@bergamotcove/entry';
import type { EventQueue } from '../_lib/createEventQueue.js';
import type { Link } from '../model/createLink.js';
import type { ServerJob, ServerModel } from '../model/createServerModel.js';
import type { Arrival, DeploymentModel, LoadPolicy, LoadScenario, LoadStage, RequestRecord } from '../types.js';

/** Everything outside one entry host. */
export interface LoadWorld {
  readonly events: EventQueue;
  readonly deployment: DeploymentModel;
  readonly scenario: LoadScenario;
  readonly policy: LoadPolicy;
  readonly seed: number;
  readonly link: Link;
  /** Servers as the lagging host list shows them. */
  listServers(stage: LoadStage): readonly ServerDescription[];
  findServer(serverId: string): ServerModel;
  record(record: RequestRecord): void;
  /** Work that attempts did beyond what one attempt needed. */
  noteExtraWork(stage: LoadStage, tokens: number): void;
}

/** One attempt in flight. */
export interface AttemptState {
  readonly run: RunState;
  readonly stage: LoadStage;
  readonly server: ServerModel;
  readonly job: ServerJob;
  readonly follower: AttemptMonitor;
  readonly crossRegion: boolean;
  readonly resumeTokens: number;
  closed: boolean;
  submitted: boolean;
  /** A second attempt was asked for; each attempt asks once. */
  hedged: boolean;
  seenTokens: number;
}

/** One request on its way through the stages. */
export interface RunState extends AdmissionRequest {
  readonly arrival: Arrival;
  readonly plan: RequestPlan;
  stageIndex: number;
  /** Attempts started in the present stage. */
  stageAttempts: number;
  attempts: AttemptState[];
  /** Attempts that wait for a server. */
  waiting: QueueEntry[];
  avoidServers: string[];
  /** Tokens of the generation that have reached the host. */
  arrivedTokens: number;
  firstTokenAtMs?: number;
  lastTokenAtMs?: number;
  releasedAtMs: number;
  admitted: boolean;
  finished: boolean;
}

/** An attempt that waits for a server. */
export interface QueueEntry extends WaitingAttempt {
  readonly run: RunState;
  readonly stage: PlannedStage;
  readonly tokens: number;
  readonly avoidServers: readonly string[];
}
