import type { AcceptedDocument } from '@bergamotcove/config';

/** Metadata of an accepted version, without its content. */
export interface AcceptedSummary {
  readonly version: number;
  readonly changeId: string;
  readonly acceptedBy: string;
  readonly acceptedAt: string;
}

/**
 * Describes an accepted version without its content.
 *
 * @param accepted - the version
 * @returns its metadata, with the time in ISO 8601
 */
export default function describeAccepted(accepted: AcceptedDocument): AcceptedSummary {
  const { version, changeId, acceptedBy, acceptedAtMs } = accepted;
  return { version, changeId, acceptedBy, acceptedAt: new Date(acceptedAtMs).toISOString() };
}
