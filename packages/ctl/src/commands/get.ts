import requireVersion from '../documents/requireVersion.js';
import withStore from '../documents/withStore.js';
import { EXIT_DONE } from '../exitCodes.js';
import type { CommandContext, CommandResult, CommandSpec } from '../types.js';

const INDENT = 2;

const run = (context: CommandContext): Promise<CommandResult> => {
  const service = context.args[0] ?? '';
  return withStore(context, `reading ${service}`, async (store) => {
    const accepted = await requireVersion(store, service, context.options.version);
    context.ports.writeErr(`${service}: version ${accepted.version}; apply a change with --expect ${accepted.version}`);
    return { exitCode: EXIT_DONE, value: accepted, text: JSON.stringify(accepted.document, null, INDENT) };
  });
};

/** `bergamotctl get`. */
const get: CommandSpec = {
  name: 'get',
  summary: 'print a service document from the store',
  description:
    'Prints a service document in the form that apply reads, and its version on standard error. ' +
    'With --json it prints the version and its author as well.',
  args: [{ name: 'SERVICE' }],
  options: ['store', 'version'],
  required: ['store'],
  example: 'bergamotctl get invoice-ledger --store http://10.0.0.5:2379 > invoice-ledger.json',
  run,
};

export default get;
