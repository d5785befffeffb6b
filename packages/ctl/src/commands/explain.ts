import CtlError from '../CtlError.js';
import { EXIT_DONE, EXIT_FAILED } from '../exitCodes.js';
import explainRequest, { type LogLine } from '../format/explainRequest.js';
import formatTable from '../format/formatTable.js';
import type { CommandContext, CommandResult, CommandSpec } from '../types.js';

const HIDDEN_FIELDS: ReadonlySet<string> = new Set(['requestId', 'failureDomain']);

const formatValue = (value: unknown): string => {
  if (typeof value === 'number') {
    return String(Math.round(value * 100) / 100);
  }
  return Array.isArray(value) ? `[${value.join(', ')}]` : String(value);
};

const formatFields = (fields: LogLine['fields']): string =>
  Object.entries(fields)
    .filter(([name]) => !HIDDEN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${formatValue(value)}`)
    .join(' ');

/** Formats lines as a table with times relative to the end of the request. */
const formatLines = (lines: readonly LogLine[], endMs: number): string =>
  formatTable(
    lines.map(({ timeMs, hostId, name, fields }) => [`${timeMs - endMs} ms`, hostId, name, formatFields(fields)]),
  );

const run = ({ args, ports }: CommandContext): Promise<CommandResult> => {
  const [requestId = '', ...files] = args;
  if (files.length === 0) {
    throw new CtlError('usage', 'argument FILE: expected at least one log file');
  }
  const explanation = explainRequest(files.map((file) => ports.readText(file)).join('\n'), requestId);
  const { own, around, cause } = explanation;
  const endMs = own.at(-1)?.timeMs ?? 0;
  if (own.length === 0) {
    const text =
      `request ${requestId}: no line in ${files.length} files\n` +
      'next: give the logs of all hosts; a host that lost power logged nothing about its open requests';
    return Promise.resolve({ exitCode: EXIT_FAILED, value: explanation, text });
  }
  const sections = [
    `request ${requestId}: ${cause ?? 'its end is not in these logs'}`,
    '',
    formatLines(own, endMs),
    ...(around.length === 0 ? [] : ['', 'its hosts and servers from 5 s before:', formatLines(around, endMs)]),
  ];
  return Promise.resolve({ exitCode: EXIT_DONE, value: explanation, text: sections.join('\n') });
};

/** `bergamotctl explain`. */
const explain: CommandSpec = {
  name: 'explain',
  summary: 'show from log files why a request ended',
  description:
    'Reads the structured logs of any number of hosts and prints the lines of one request, the cause of its end, and ' +
    'what its hosts and servers logged around it. Times count from the end of the request. - reads standard input.',
  args: [{ name: 'ID' }, { name: 'FILE', repeated: true }],
  options: [],
  required: [],
  example: 'bergamotctl explain 9c41d07be2a35f68 /var/log/bergamot/*.log',
  run,
};

export default explain;
