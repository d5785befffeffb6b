import type { ServiceDocument } from '@bergamotcove/config';
import { exhaustive } from '@bergamotcove/errors';
import { acceptDocument, type AcceptResult, type StoreClient } from '@bergamotcove/backends';
import { EXIT_DONE, EXIT_UNKNOWN } from '../exitCodes.js';
import type { CommandContext, CommandResult } from '../types.js';
import describeConflict from './describeConflict.js';

/** A document to accept, and the version that it replaces. */
export interface Submission {
  readonly document: ServiceDocument;
  readonly expectedVersion: number;
  readonly changeId: string;
  /** Text after the message, for instance `with the content of version 3`. */
  readonly note?: string;
}

const MS_PER_SECOND = 1_000;
const RETRY_PAUSE_MS = 250;

const describeAcceptance = (
  submission: Submission,
  result: Extract<AcceptResult, { type: 'accepted' }>,
): CommandResult => {
  const { document, changeId, note } = submission;
  const overtaken =
    result.overtakenBy === undefined ? '' : `; version ${result.overtakenBy} was accepted after it and is current`;
  const suffix = note === undefined ? '' : ` ${note}`;
  return {
    exitCode: EXIT_DONE,
    value: { ...result, service: document.service, changeId },
    text: `${document.service}: version ${result.version} accepted${suffix}${overtaken}`,
  };
};

const describeUnknown = (submission: Submission): CommandResult => {
  const { document, changeId } = submission;
  const { service } = document;
  return {
    exitCode: EXIT_UNKNOWN,
    value: { type: 'unknown', service, changeId, expectedVersion: submission.expectedVersion },
    text: [
      `${service}: the store did not confirm change ${changeId} in time; it may or may not have taken effect`,
      `next: when the store answers again, run "bergamotctl history ${service} --change ${changeId}"`,
    ].join('\n'),
  };
};

/**
 * Accepts a document by compare-and-swap and describes the outcome.
 *
 * @param store - configuration store
 * @param context - command line and ports
 * @param submission - document, expected version and change id
 * @returns accepted (0), conflict (3) or unknown (4)
 * @throws BackendError when nothing was written
 */
export default async function submitDocument(
  store: StoreClient,
  context: CommandContext,
  submission: Submission,
): Promise<CommandResult> {
  const { ports, options } = context;
  const result = await acceptDocument(store, submission.document, {
    changeId: submission.changeId,
    acceptedBy: ports.userName(),
    acceptedAtMs: ports.clock.wallMs(),
    expectedVersion: submission.expectedVersion,
    retry: {
      clock: ports.clock,
      giveUpAfterMs: options.timeoutSeconds * MS_PER_SECOND,
      pauseMs: RETRY_PAUSE_MS,
    },
  });
  switch (result.type) {
    case 'accepted':
      return describeAcceptance(submission, result);
    case 'conflict':
      return describeConflict(store, submission.document.service, {
        base: submission.expectedVersion,
        current: result.current,
      });
    case 'unknown':
      return describeUnknown(submission);
    default:
      return exhaustive(result);
  }
}
