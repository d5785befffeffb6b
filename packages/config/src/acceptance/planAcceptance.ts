import type { ServiceDocument } from '../types.js';
import type { AcceptanceBase, AcceptancePlan, AcceptanceRequest } from './types.js';

/**
 * Decides whether a document may become the next version of its service. The next version is above every version
 * ever written, even when the store has lost its newest head, because a host never returns to a lower version.
 *
 * @param base - what the store holds of the service
 * @param document - checked document
 * @param request - who accepts the document, and the version that it replaces
 * @returns the value to write, or the conflict
 * @example
 * planAcceptance({ current: undefined, highestVersion: 0 }, document, request); // writes version 1
 */
export default function planAcceptance(
  base: AcceptanceBase,
  document: ServiceDocument,
  request: AcceptanceRequest,
): AcceptancePlan {
  const currentVersion = base.current?.version ?? 0;
  if (request.expectedVersion !== undefined && request.expectedVersion !== currentVersion) {
    return { type: 'conflict', current: base.current };
  }
  const { changeId, acceptedBy, acceptedAtMs } = request;
  const version = Math.max(currentVersion, base.highestVersion) + 1;
  return { type: 'write', accepted: { document, version, changeId, acceptedBy, acceptedAtMs } };
}
