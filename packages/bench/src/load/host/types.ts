import type { AdmissionRequest, ServerDescription } from '@bergamotcove/decide';
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
  readonly hedge: boolean;
  readonly crossRegion: boolean;
  readonly sentAtMs: number;
  readonly prefillTokens: number;
  readonly resumeTokens: number;
  closed: boolean;
  submitted: boolean;
  long: boolean;
  /** Estimated tokens that the book counts as outstanding for this attempt. */
  bookedTokens: number;
  seenTokens: number;
  seenAtMs: number;
  paceMs: number;
}

/** One request on its way through the stages. */
export interface RunState extends AdmissionRequest {
  readonly arrival: Arrival;
  stageIndex: number;
  stageStartedAtMs: number;
  stageAttempts: number;
  attempts: AttemptState[];
  avoidServers: string[];
  /** Tokens of the generation that have reached the host. */
  arrivedTokens: number;
  estimateTokens: number;
  releasedAtMs: number;
  admitted: boolean;
  finished: boolean;
}

/** A stage of a request that waits for a server. */
export interface QueueEntry {
  readonly run: RunState;
  readonly hedge: boolean;
}
