/** The operators' command line: `bergamotctl COMMAND [ARGUMENTS] [OPTIONS]`. */
import { parseArgs } from 'node:util';
import { parseServiceDocument, readJsonFile, readSettings } from '@bergamotcove/config';
import { toError } from '@bergamotcove/errors';
import { createStoreClient } from '@bergamotcove/platform';
import applyDocument from './commands/applyDocument.js';
import callHost from './commands/callHost.js';
import { EXIT_DONE, EXIT_FAILED, EXIT_USAGE } from './exitCodes.js';
import type { CommandResult, Invocation } from './types.js';

const USAGE = `usage: bergamotctl COMMAND [ARGUMENTS] [OPTIONS]

  validate FILE        check a service document
  apply FILE           accept a service document as the next version
  status               show the state of an entry host
  drain                start a planned stop of an entry host
  trace ID             show the spans of a trace on an entry host

  --store URL          address of the configuration store (repeatable)
  --host URL           peer address of an entry host
  --settings FILE      settings of an entry host; their peer keys sign the calls to --host
  --expect VERSION     accept only if this version is current
  --json               print JSON`;

const STORE_TIMEOUT_MS = 5_000;

const invocationFromArgs = (): Invocation => {
  const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: {
      store: { type: 'string', multiple: true, default: [] },
      host: { type: 'string' },
      settings: { type: 'string' },
      expect: { type: 'string' },
      json: { type: 'boolean', default: false },
    },
  });
  return {
    command: positionals[0] ?? '',
    positionals: positionals.slice(1),
    storeUrls: values.store,
    json: values.json,
    ...(values.settings === undefined ? {} : { settingsFile: values.settings }),
    ...(values.host === undefined ? {} : { hostUrl: values.host }),
    ...(values.expect === undefined ? {} : { expectedVersion: Number(values.expect) }),
  };
};

const validate = (file: string): CommandResult => {
  const document = parseServiceDocument(readJsonFile(file), { source: file });
  return { exitCode: EXIT_DONE, value: document, text: `${document.service}: the document is valid` };
};

const runCommand = async (invocation: Invocation): Promise<CommandResult> => {
  const [argument = ''] = invocation.positionals;
  const hostUrl = invocation.hostUrl ?? '';
  const showHost = async (method: string, params: object = {}): Promise<CommandResult> => {
    const keys =
      invocation.settingsFile === undefined ? {} : { keys: readSettings(invocation.settingsFile).peers.keys };
    const value = await callHost(hostUrl, method, params, keys);
    return { exitCode: EXIT_DONE, value, text: JSON.stringify(value, null, 2) };
  };
  switch (invocation.command) {
    case 'validate':
      return validate(argument);
    case 'apply': {
      const store = createStoreClient({ urls: invocation.storeUrls, timeoutMs: STORE_TIMEOUT_MS });
      try {
        return await applyDocument(store, argument, invocation);
      } finally {
        store.close();
      }
    }
    case 'status':
      return showHost('operator.status');
    case 'drain':
      return showHost('operator.drain');
    case 'trace':
      return showHost('operator.trace', { traceId: argument });
    default:
      return { exitCode: EXIT_USAGE, value: { usage: USAGE }, text: USAGE };
  }
};

const main = async (): Promise<void> => {
  const invocation = invocationFromArgs();
  const result = await runCommand(invocation);
  console.log(invocation.json ? JSON.stringify(result.value) : result.text);
  process.exitCode = result.exitCode;
};

main().catch((cause: unknown) => {
  console.error(`bergamotctl: ${toError(cause).message}`);
  process.exitCode = EXIT_FAILED;
});
