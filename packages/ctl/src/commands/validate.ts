import { parseServiceDocument } from '@bergamotcove/config';
import { EXIT_DONE } from '../exitCodes.js';
import type { CommandContext, CommandResult, CommandSpec } from '../types.js';

const run = ({ ports, args }: CommandContext): Promise<CommandResult> => {
  const documents = args.map((file) => parseServiceDocument(ports.readJson(file), { source: file }));
  return Promise.resolve({
    exitCode: EXIT_DONE,
    value: documents,
    text: documents.map((document) => `${document.service}: the document is valid`).join('\n'),
  });
};

/** `bergamotctl validate`. */
const validate: CommandSpec = {
  name: 'validate',
  summary: 'check service documents without a store',
  description: 'Checks service documents and names every wrong field: its path, what was expected and what was found.',
  args: [{ name: 'FILE', repeated: true }],
  options: [],
  required: [],
  example: 'bergamotctl validate examples/brescia/invoice-ledger.json',
  run: async (context) => run(context),
};

export default validate;
