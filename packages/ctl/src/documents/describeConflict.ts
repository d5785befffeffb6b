import { diffDocuments, type AcceptedDocument, type Difference } from '@bergamotcove/config';
import { readHistory, readVersion, type StoreClient } from '@bergamotcove/backends';
import { EXIT_CONFLICT } from '../exitCodes.js';
import describeAccepted, { type AcceptedSummary } from '../format/describeAccepted.js';
import formatDifferences from '../format/formatDifferences.js';
import type { CommandResult } from '../types.js';

/** Maximum number of versions listed in a conflict; older ones are in the history. */
const SHOWN_VERSIONS = 10;

const formatVersions = (versions: readonly AcceptedSummary[]): readonly string[] =>
  versions.map(
    ({ version, acceptedBy, acceptedAt }) => `  version ${version} accepted by ${acceptedBy} at ${acceptedAt}`,
  );

const formatChanges = (base: number, differences: readonly Difference[] | undefined): readonly string[] =>
  differences === undefined
    ? [`version ${base} does not exist, so no differences can be shown`]
    : [`changed since version ${base}:`, formatDifferences(differences)];

/**
 * Describes a conflict: who accepted what since the operator's base version.
 *
 * @param store - configuration store
 * @param service - service name
 * @param versions - base version of the change and the current document
 * @returns the result of the command, exit code 3
 */
export default async function describeConflict(
  store: StoreClient,
  service: string,
  versions: { readonly base: number; readonly current: AcceptedDocument | undefined },
): Promise<CommandResult> {
  const { base, current } = versions;
  const currentVersion = current?.version ?? 0;
  const before = base === 0 ? undefined : await readVersion(store, service, base);
  const isKnown = base === 0 || before !== undefined;
  const differences = isKnown ? diffDocuments(before?.document ?? {}, current?.document ?? {}) : undefined;
  const afterVersion = Math.max(base, currentVersion - SHOWN_VERSIONS);
  const newer = await readHistory(store, service, { afterVersion, upToVersion: currentVersion });
  const accepted = newer.map(describeAccepted);
  const text = [
    `${service}: conflict: version ${currentVersion} is current, the change is based on version ${base}`,
    ...formatVersions(accepted),
    ...formatChanges(base, differences),
    `next: read the current document with "bergamotctl get ${service}", merge the change, and repeat the command with --expect ${currentVersion}`,
  ].join('\n');
  const value = { type: 'conflict', service, base, current: currentVersion, accepted, differences };
  return { exitCode: EXIT_CONFLICT, value, text };
}
