import type { OperationSpec, ServiceDocument } from '@bergamotcove/config';
import type { RequestPlan } from './types.js';

/** Properties of a request that its plan depends on. */
export interface PlanOptions {
  readonly requestId: string;
  readonly organisation: string;
  readonly operation: OperationSpec;
  /** Monotonic time of the deadline. */
  readonly deadlineAtMs: number;
}

/**
 * Plans the stages of a request.
 *
 * @param document - current service document
 * @param options - properties of the request
 * @returns the plan; newer documents do not change it
 * @example
 * planRequest(document, { requestId: 'r1', organisation: 'acme', operation, deadlineAtMs: 5_000 });
 */
export default function planRequest(document: ServiceDocument, options: PlanOptions): RequestPlan {
  const stageNames = options.operation.stages ?? document.stages.map((stage) => stage.name);
  const stages = document.stages.filter((stage) => stageNames.includes(stage.name));
  return {
    requestId: options.requestId,
    service: document.service,
    organisation: options.organisation,
    operation: options.operation,
    stages: stages.map((stage, index) => ({ ...stage, index })),
    deadlineAtMs: options.deadlineAtMs,
    maxAttempts: document.retry.maxAttempts,
  };
}
