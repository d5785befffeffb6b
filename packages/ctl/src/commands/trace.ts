import { z } from 'zod';
import CtlError from '../CtlError.js';
import { EXIT_DONE, EXIT_FAILED } from '../exitCodes.js';
import formatWaterfall from '../format/formatWaterfall.js';
import askHosts from '../hosts/askHosts.js';
import { spanSchema } from '../hosts/schemas.js';
import type { CommandContext, CommandResult, CommandSpec } from '../types.js';

const TRACE_ID = /^[0-9a-f]{32}$/;

const run = async (context: CommandContext): Promise<CommandResult> => {
  const traceId = context.args[0] ?? '';
  if (!TRACE_ID.test(traceId)) {
    throw new CtlError('usage', `argument ID: expected 32 lower-case hexadecimal digits, found "${traceId}"`);
  }
  const answers = await askHosts(context, { name: 'operator.trace', params: { traceId }, schema: z.array(spanSchema) });
  answers.forEach((answer) => {
    if (answer.type === 'failed') {
      context.ports.writeErr(`bergamotctl trace: ${answer.hostUrl} did not answer: ${answer.error.message}`);
    }
  });
  const spans = answers.flatMap((answer) => (answer.type === 'answered' ? answer.result : []));
  if (spans.length === 0) {
    const text =
      `trace ${traceId}: no spans on ${answers.length} hosts\n` +
      'next: ask the other hosts with --host; hosts keep only the latest spans, and only of sampled traces';
    return { exitCode: EXIT_FAILED, value: spans, text };
  }
  return { exitCode: EXIT_DONE, value: spans, text: formatWaterfall(spans, { columns: context.ports.columns }) };
};

/** `bergamotctl trace`. */
const trace: CommandSpec = {
  name: 'trace',
  summary: 'draw the hops of one request as a waterfall',
  description:
    'Gathers the spans of a trace from entry hosts and draws them on a common time axis. The id is the second field ' +
    'of the traceparent header that the caller sent.',
  args: [{ name: 'ID' }],
  options: ['host', 'settings'],
  required: ['host'],
  example: 'bergamotctl trace 4bf92f3577b34da6a3ce929d0e0e4736 --host http://10.0.0.7:7000',
  run,
};

export default trace;
