import { parseServiceDocument } from '@bergamotcove/config';
import { readHead } from '@bergamotcove/backends';
import submitDocument from '../documents/submitDocument.js';
import withStore from '../documents/withStore.js';
import type { CommandContext, CommandResult, CommandSpec } from '../types.js';

const run = async (context: CommandContext): Promise<CommandResult> => {
  const { ports, args, options } = context;
  const file = args[0] ?? '';
  const document = parseServiceDocument(ports.readJson(file), { source: file });
  return withStore(context, `applying ${document.service}`, async (store) => {
    const expectedVersion = options.expect ?? (await readHead(store, document.service)).current?.version ?? 0;
    return submitDocument(store, context, { document, expectedVersion, changeId: ports.newChangeId() });
  });
};

/** `bergamotctl apply`. */
const apply: CommandSpec = {
  name: 'apply',
  summary: 'accept a service document as the next version',
  description:
    'Checks the document and accepts it as the next version, if the expected version is still current. ' +
    'Without --expect the version that is current at the start is expected. A conflict shows what changed since. ' +
    'After a lost reply of the store the change is sent again under the same id until its outcome is known.',
  args: [{ name: 'FILE' }],
  options: ['store', 'expect', 'timeout'],
  required: ['store'],
  example: 'bergamotctl apply invoice-ledger.json --expect 12 --store http://10.0.0.5:2379',
  run,
};

export default apply;
