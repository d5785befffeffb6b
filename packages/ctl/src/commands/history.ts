import { diffDocuments, type AcceptedDocument } from '@bergamotcove/config';
import { readHistory, type StoreClient } from '@bergamotcove/backends';
import findChange from '../documents/findChange.js';
import requireVersion from '../documents/requireVersion.js';
import withStore from '../documents/withStore.js';
import { EXIT_DONE, EXIT_FAILED } from '../exitCodes.js';
import describeAccepted from '../format/describeAccepted.js';
import formatTable from '../format/formatTable.js';
import type { CommandContext, CommandResult, CommandSpec } from '../types.js';

const DEFAULT_LIMIT = 20;

const describeVersion = (accepted: AcceptedDocument, previous: AcceptedDocument | undefined) => ({
  ...describeAccepted(accepted),
  ...(previous === undefined
    ? {}
    : { changedPaths: diffDocuments(previous.document, accepted.document).map((difference) => difference.path) }),
});

const listVersions = async (store: StoreClient, service: string, limit: number): Promise<CommandResult> => {
  const { version: currentVersion } = await requireVersion(store, service);
  // Reads one version more than is shown, so that the changed fields of the oldest one are known.
  const history = await readHistory(store, service, { afterVersion: Math.max(0, currentVersion - limit - 1) });
  const versions = history
    .map((accepted, index) => describeVersion(accepted, history[index - 1]))
    .reverse()
    .slice(0, limit);
  const rows = versions.map((entry) => [
    String(entry.version),
    entry.acceptedAt,
    entry.acceptedBy,
    entry.changeId,
    entry.changedPaths?.join(', ') ?? '',
  ]);
  return {
    exitCode: EXIT_DONE,
    value: { service, currentVersion, versions },
    text: formatTable([['VERSION', 'ACCEPTED AT', 'BY', 'CHANGE', 'CHANGED FIELDS'], ...rows]),
  };
};

const showChange = async (store: StoreClient, service: string, changeId: string): Promise<CommandResult> => {
  const state = await findChange(store, service, changeId);
  if (state.type === 'not-found') {
    const text =
      `${service}: change ${changeId} is not among the accepted versions up to ${state.currentVersion}\n` +
      `next: repeat the command that made it with --expect ${state.currentVersion}; ` +
      'if the first one still arrives, only one of the two is accepted';
    return { exitCode: EXIT_FAILED, value: { ...state, service, changeId }, text };
  }
  const { accepted, currentVersion } = state;
  const overtaken = currentVersion > accepted.version;
  const suffix = overtaken ? `; version ${currentVersion} has replaced it` : ' and is current';
  return {
    exitCode: EXIT_DONE,
    value: { type: overtaken ? 'overtaken' : 'accepted', service, ...describeAccepted(accepted), currentVersion },
    text: `${service}: change ${changeId} was accepted as version ${accepted.version}${suffix}`,
  };
};

const run = (context: CommandContext): Promise<CommandResult> => {
  const service = context.args[0] ?? '';
  const { change, limit } = context.options;
  return withStore(context, `reading the history of ${service}`, (store) =>
    change === undefined ? listVersions(store, service, limit ?? DEFAULT_LIMIT) : showChange(store, service, change),
  );
};

/** `bergamotctl history`. */
const history: CommandSpec = {
  name: 'history',
  summary: 'list the versions of a service document',
  description:
    'Lists who accepted which version and which fields it changed, newest first. ' +
    'With --change it tells whether a change is accepted, overtaken by a later version, or not accepted (exit code 1).',
  args: [{ name: 'SERVICE' }],
  options: ['store', 'limit', 'change'],
  required: ['store'],
  example: 'bergamotctl history invoice-ledger --limit 5 --store http://10.0.0.5:2379',
  run,
};

export default history;
