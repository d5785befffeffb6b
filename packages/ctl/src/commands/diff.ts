import { diffDocuments, parseServiceDocument, type ServiceDocument } from '@bergamotcove/config';
import type { StoreClient } from '@bergamotcove/backends';
import readVersionArgument from '../_lib/readVersionArgument.js';
import CtlError from '../CtlError.js';
import requireVersion from '../documents/requireVersion.js';
import withStore from '../documents/withStore.js';
import { EXIT_DONE } from '../exitCodes.js';
import formatDifferences from '../format/formatDifferences.js';
import type { CommandContext, CommandResult, CommandSpec } from '../types.js';

/** One side of a comparison. */
interface Side {
  readonly label: string;
  readonly document: ServiceDocument;
}

const SERVICE_NAME = /^[a-z][a-z0-9-]*$/;

const readFile = (context: CommandContext, file: string): Side => ({
  label: file,
  document: parseServiceDocument(context.ports.readJson(file), { source: file }),
});

const readStored = async (store: StoreClient, service: string, version?: number): Promise<Side> => {
  const accepted = await requireVersion(store, service, version);
  return { label: `version ${accepted.version}`, document: accepted.document };
};

const compare = (before: Side, after: Side): CommandResult => {
  const differences = diffDocuments(before.document, after.document);
  const title = `${after.document.service}: ${before.label} -> ${after.label}`;
  return {
    exitCode: EXIT_DONE,
    value: { service: after.document.service, before: before.label, after: after.label, differences },
    text: `${title}\n${formatDifferences(differences)}`,
  };
};

const compareVersions = (context: CommandContext, service: string): Promise<CommandResult> => {
  const versions = context.args.slice(1).map(readVersionArgument);
  if (versions.length === 0) {
    throw new CtlError('usage', 'argument VERSION is missing after the name of a service');
  }
  return withStore(context, `reading ${service}`, async (store) =>
    compare(await readStored(store, service, versions[0]), await readStored(store, service, versions[1])),
  );
};

const compareFile = (context: CommandContext, file: string): Promise<CommandResult> => {
  const after = readFile(context, file);
  const { service } = after.document;
  return withStore(context, `reading ${service}`, async (store) =>
    compare(await readStored(store, service, context.options.version), after),
  );
};

const run = async (context: CommandContext): Promise<CommandResult> => {
  const [first = '', second] = context.args;
  const isService = SERVICE_NAME.test(first);
  if (!isService && second !== undefined) {
    return compare(readFile(context, first), readFile(context, second));
  }
  if (context.options.store.length === 0) {
    throw new CtlError('usage', 'option --store URL is missing');
  }
  return isService ? compareVersions(context, first) : compareFile(context, first);
};

/** `bergamotctl diff`. */
const diff: CommandSpec = {
  name: 'diff',
  summary: 'show what changed between two documents',
  description:
    'diff FILE compares the version in the store with a file, diff SERVICE VERSION [VERSION] compares two versions ' +
    '(the second is the current one by default), and diff FILE FILE compares two files without a store.',
  args: [{ name: 'FILE|SERVICE' }, { name: 'FILE|VERSION', optional: true }, { name: 'VERSION', optional: true }],
  options: ['store', 'version'],
  required: [],
  example: 'bergamotctl diff invoice-ledger 11 12 --store http://10.0.0.5:2379',
  run,
};

export default diff;
