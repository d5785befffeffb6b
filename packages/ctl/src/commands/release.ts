import { TransportError } from '@bergamotcove/transport';
import { EXIT_DONE, EXIT_FAILED, EXIT_UNKNOWN } from '../exitCodes.js';
import askHosts, { type HostAnswer } from '../hosts/askHosts.js';
import { releaseAnswerSchema } from '../hosts/schemas.js';
import type { CommandContext, CommandResult, CommandSpec } from '../types.js';

/** Outcome of the release order on one host. */
type ReleaseState = 'released' | 'not-blocked' | 'failed' | 'unknown';

const TEXT_BY_STATE: Readonly<Record<ReleaseState, string>> = {
  released: 'released; the host passes the release on to the other hosts',
  'not-blocked': 'the fingerprint was not blocked here; the release is passed on to the other hosts',
  failed: 'the order did not reach the host; check the address and the process',
  unknown: 'the host did not confirm the order; repeat the command, a second order has no further effect',
};

const toState = (answer: HostAnswer<{ readonly released: boolean }>): ReleaseState => {
  if (answer.type === 'answered') {
    return answer.result.released ? 'released' : 'not-blocked';
  }
  const { error } = answer;
  return error instanceof TransportError && error.code === 'not-connected' ? 'failed' : 'unknown';
};

/** One host that accepted the order is enough, because it passes the release on to the others. */
const toExitCode = (states: readonly ReleaseState[]): number => {
  if (states.some((state) => state === 'released' || state === 'not-blocked')) {
    return EXIT_DONE;
  }
  return states.includes('unknown') ? EXIT_UNKNOWN : EXIT_FAILED;
};

const run = async (context: CommandContext): Promise<CommandResult> => {
  const params = { fingerprint: context.args[0] ?? '' };
  const answers = await askHosts(context, { name: 'operator.releasePoison', params, schema: releaseAnswerSchema });
  const hosts = answers.map((answer) => ({ hostUrl: answer.hostUrl, state: toState(answer) }));
  return {
    exitCode: toExitCode(hosts.map(({ state }) => state)),
    value: { hosts },
    text: hosts.map(({ hostUrl, state }) => `${hostUrl}: ${TEXT_BY_STATE[state]}`).join('\n'),
  };
};

/** `bergamotctl release`. */
const release: CommandSpec = {
  name: 'release',
  summary: 'end the block of a request that crashed servers',
  description:
    'Ends the block of a fingerprint on the given hosts, which pass the release on to the others. Find the cause of the ' +
    'crashes first: the request may run again at once.',
  args: [{ name: 'FINGERPRINT' }],
  options: ['host', 'settings'],
  required: ['host'],
  example: 'bergamotctl release 3q2-7wAAAAAAAAAAAAAAAA --host http://10.0.0.7:7000',
  run,
};

export default release;
