import type { z } from 'zod';
import { EXIT_DONE, EXIT_FAILED } from '../exitCodes.js';
import formatTable from '../format/formatTable.js';
import askHosts from '../hosts/askHosts.js';
import { limitListSchema } from '../hosts/schemas.js';
import type { CommandContext, CommandResult, CommandSpec } from '../types.js';

const MS_PER_SECOND = 1_000;
const HEADING = ['SERVER', 'POOL', 'REQUESTS/S', 'SINCE', 'LEARNT FROM', 'HANDED OUT BY', 'SENDS'];

/** A rate limit, combined over all hosts that were asked. */
type Limit = z.output<typeof limitListSchema>[number] & {
  /** Host that hands out the sends; undefined when it was not asked. */
  readonly handedOutBy: string | undefined;
};

const combine = (known: Limit | undefined, limit: Limit): Limit => {
  const first = known === undefined || limit.sinceMs > known.sinceMs ? limit : known;
  const owner = limit.handsOut ? limit : known;
  return { ...first, handedOutBy: owner?.handedOutBy, sends: owner?.sends ?? 0 };
};

const toRow = ({
  serverId,
  pool,
  requestsPerSecond,
  sinceMs,
  learntFrom,
  handedOutBy,
  sends,
}: Limit): readonly string[] => [
  serverId,
  pool,
  String(requestsPerSecond),
  `${Math.ceil(sinceMs / MS_PER_SECOND)} s`,
  learntFrom,
  handedOutBy ?? 'a host that was not asked',
  handedOutBy === undefined ? '' : String(sends),
];

const run = async (context: CommandContext): Promise<CommandResult> => {
  const answers = await askHosts(context, { name: 'operator.listLimits', params: {}, schema: limitListSchema });
  const limits = new Map<string, Limit>();
  const notes: string[] = [];
  answers.forEach((answer) => {
    if (answer.type === 'failed') {
      notes.push(`${answer.hostUrl} did not answer: ${answer.error.message}`);
      return;
    }
    answer.result.forEach((limit) => {
      const handedOutBy = limit.handsOut ? answer.hostUrl : undefined;
      limits.set(limit.serverId, combine(limits.get(limit.serverId), { ...limit, handedOutBy }));
    });
  });
  const list = [...limits.values()];
  const table = list.length === 0 ? 'no server has stated a limit' : formatTable([HEADING, ...list.map(toRow)]);
  return {
    exitCode: notes.length === 0 ? EXIT_DONE : EXIT_FAILED,
    value: { limits: list, unanswered: answers.filter(({ type }) => type === 'failed').map(({ hostUrl }) => hostUrl) },
    text: [table, ...notes].join('\n'),
  };
};

/** `bergamotctl limits`. */
const limits: CommandSpec = {
  name: 'limits',
  summary: 'list the rate limits that servers have stated',
  description:
    'Lists the servers that have stated how many requests a second they take from all hosts together, how the hosts ' +
    'learnt it, and how many sends were handed out. Servers that started or recovered are learnt from `cold start`. Exit code 1 when a host does not answer.',
  args: [],
  options: ['host', 'settings'],
  required: ['host'],
  example: 'bergamotctl limits --host link://10.0.0.7:7740 --host link://10.0.0.8:7740',
  run,
};

export default limits;
