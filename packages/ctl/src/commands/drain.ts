import { TransportError } from '@bergamotcove/transport';
import withProgress from '../cli/withProgress.js';
import { EXIT_DONE, EXIT_FAILED, EXIT_UNKNOWN } from '../exitCodes.js';
import askHosts, { type HostAnswer } from '../hosts/askHosts.js';
import { drainAnswerSchema } from '../hosts/schemas.js';
import type { CommandContext, CommandResult, CommandSpec } from '../types.js';

const MS_PER_SECOND = 1_000;
const WAIT_POLL_MS = 250;

/** Outcome of the drain order on one host. */
type DrainState = 'draining' | 'stopped' | 'failed' | 'unknown';

const EXIT_BY_STATE: Readonly<Record<DrainState, number>> = {
  draining: EXIT_DONE,
  stopped: EXIT_DONE,
  failed: EXIT_FAILED,
  unknown: EXIT_UNKNOWN,
};

const TEXT_BY_STATE: Readonly<Record<DrainState, string>> = {
  draining: 'the planned stop has begun; follow it with "bergamotctl status"',
  stopped: 'the host has stopped',
  failed: 'the order did not reach the host; check the address and the process',
  unknown: 'the host did not confirm the order; repeat the command, a second order has no further effect',
};

const toState = (answer: HostAnswer<unknown>): DrainState => {
  if (answer.type === 'answered') {
    return 'draining';
  }
  const { error } = answer;
  return error instanceof TransportError && error.code === 'not-connected' ? 'failed' : 'unknown';
};

const isStopped = async (context: CommandContext, hostUrl: string): Promise<boolean> => {
  try {
    await context.ports.callHost(hostUrl, 'operator.status', {}, context.options);
    return false;
  } catch (cause) {
    return cause instanceof TransportError && cause.code === 'not-connected';
  }
};

const waitUntilStopped = async (context: CommandContext, hostUrl: string, endMs: number): Promise<DrainState> => {
  if (await isStopped(context, hostUrl)) {
    return 'stopped';
  }
  if (context.ports.clock.monotonicMs() >= endMs) {
    return 'draining';
  }
  await new Promise<void>((resolve) => {
    context.ports.clock.schedule(WAIT_POLL_MS, resolve);
  });
  return waitUntilStopped(context, hostUrl, endMs);
};

const finish = (context: CommandContext, answer: HostAnswer<unknown>): Promise<DrainState> => {
  const state = toState(answer);
  if (state !== 'draining' || !context.options.wait) {
    return Promise.resolve(state);
  }
  const endMs = context.ports.clock.monotonicMs() + context.options.timeoutSeconds * MS_PER_SECOND;
  return waitUntilStopped(context, answer.hostUrl, endMs);
};

const run = async (context: CommandContext): Promise<CommandResult> => {
  const answers = await askHosts(context, { name: 'operator.drain', params: {}, schema: drainAnswerSchema });
  const states = await withProgress(
    context.ports,
    'waiting for the planned stop',
    Promise.all(answers.map((answer) => finish(context, answer))),
  );
  const hosts = answers.map(({ hostUrl }, index) => ({ hostUrl, state: states[index] ?? 'unknown' }));
  return {
    exitCode: Math.max(...hosts.map(({ state }) => EXIT_BY_STATE[state])),
    value: { hosts },
    text: hosts.map(({ hostUrl, state }) => `${hostUrl}: ${TEXT_BY_STATE[state]}`).join('\n'),
  };
};

/** `bergamotctl drain`. */
const drain: CommandSpec = {
  name: 'drain',
  summary: 'start a planned stop of entry hosts',
  description:
    'Orders entry hosts to stop gracefully: they report not ready, wait for the balancer, finish the requests in ' +
    'flight and exit. With --wait the command ends when they have stopped.',
  args: [],
  options: ['host', 'settings', 'wait', 'timeout'],
  required: ['host'],
  example: 'bergamotctl drain --host http://10.0.0.7:7000 --wait --timeout 90',
  run,
};

export default drain;
