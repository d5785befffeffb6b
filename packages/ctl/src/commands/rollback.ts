import { readHead } from '@bergamotcove/backends';
import readVersionArgument from '../_lib/readVersionArgument.js';
import requireVersion from '../documents/requireVersion.js';
import submitDocument from '../documents/submitDocument.js';
import withStore from '../documents/withStore.js';
import type { CommandContext, CommandResult, CommandSpec } from '../types.js';

const run = async (context: CommandContext): Promise<CommandResult> => {
  const [service = '', versionText = ''] = context.args;
  const version = readVersionArgument(versionText);
  return withStore(context, `rolling back ${service}`, async (store) => {
    const { document } = await requireVersion(store, service, version);
    const expectedVersion = context.options.expect ?? (await readHead(store, service)).current?.version ?? 0;
    return submitDocument(store, context, {
      document,
      expectedVersion,
      changeId: context.ports.newChangeId(),
      note: `with the content of version ${version}`,
    });
  });
};

/** `bergamotctl rollback`. */
const rollback: CommandSpec = {
  name: 'rollback',
  summary: 'accept the content of an earlier version again',
  description:
    'Writes the content of an earlier version as a new version; the version number always grows. ' +
    'Conflicts and lost replies are handled as by apply.',
  args: [{ name: 'SERVICE' }, { name: 'VERSION' }],
  options: ['store', 'expect', 'timeout'],
  required: ['store'],
  example: 'bergamotctl rollback invoice-ledger 11 --expect 12 --store http://10.0.0.5:2379',
  run,
};

export default rollback;
