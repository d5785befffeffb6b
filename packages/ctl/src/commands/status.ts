import { EXIT_DONE, EXIT_FAILED } from '../exitCodes.js';
import formatStatus from '../format/formatStatus.js';
import askHosts from '../hosts/askHosts.js';
import { hostStatusSchema } from '../hosts/schemas.js';
import type { CommandContext, CommandResult, CommandSpec } from '../types.js';

const run = async (context: CommandContext): Promise<CommandResult> => {
  const answers = await askHosts(context, { name: 'operator.status', params: {}, schema: hostStatusSchema });
  const hosts = answers.map((answer) =>
    answer.type === 'answered'
      ? { hostUrl: answer.hostUrl, ...answer.result }
      : { hostUrl: answer.hostUrl, error: answer.error.message },
  );
  const failed = answers.filter((answer) => answer.type === 'failed').length;
  const advice =
    failed === 0 ? '' : `\n\n${failed} of ${answers.length} hosts did not answer; check their addresses and processes`;
  return {
    exitCode: failed === 0 ? EXIT_DONE : EXIT_FAILED,
    value: { hosts },
    text: formatStatus(answers) + advice,
  };
};

/** `bergamotctl status`. */
const status: CommandSpec = {
  name: 'status',
  summary: 'show entry hosts and the versions that they have in force',
  description:
    'Prints a table of the entry hosts, a table of the services with the version in force on each host, the stage that ' +
    'limits a service with the gain from one more server of its pool, and findings such as a store that lost writes. ' +
    'Exit code 1 when a host does not answer.',
  args: [],
  options: ['host', 'settings'],
  required: ['host'],
  example: 'bergamotctl status --host http://10.0.0.7:7000 --host http://10.0.0.8:7000',
  run,
};

export default status;
