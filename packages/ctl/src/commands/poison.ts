import { EXIT_DONE, EXIT_FAILED } from '../exitCodes.js';
import formatTable from '../format/formatTable.js';
import askHosts from '../hosts/askHosts.js';
import { poisonListSchema } from '../hosts/schemas.js';
import type { CommandContext, CommandResult, CommandSpec } from '../types.js';

const MS_PER_SECOND = 1_000;
const HEADING = ['FINGERPRINT', 'BLOCKED FOR', 'HOSTS'];

/** A blocked fingerprint, combined over all hosts that were asked. */
interface Block {
  readonly fingerprint: string;
  /** Longest remaining time of the block on any host. */
  readonly remainingMs: number;
  readonly hostUrls: readonly string[];
}

const toRow = ({ fingerprint, remainingMs, hostUrls }: Block): readonly string[] => [
  fingerprint,
  `${Math.ceil(remainingMs / MS_PER_SECOND)} s`,
  String(hostUrls.length),
];

const run = async (context: CommandContext): Promise<CommandResult> => {
  const answers = await askHosts(context, { name: 'operator.listPoison', params: {}, schema: poisonListSchema });
  const failed = answers.filter((answer) => answer.type === 'failed');
  const blocks = new Map<string, Block>();
  answers.forEach((answer) => {
    const listed = answer.type === 'answered' ? answer.result : [];
    listed.forEach(({ fingerprint, remainingMs }) => {
      const known = blocks.get(fingerprint);
      blocks.set(fingerprint, {
        fingerprint,
        remainingMs: Math.max(remainingMs, known?.remainingMs ?? 0),
        hostUrls: [...(known?.hostUrls ?? []), answer.hostUrl],
      });
    });
  });
  const list = [...blocks.values()];
  const notes = failed.map(({ hostUrl, error }) => `${hostUrl} did not answer: ${error.message}`);
  const table =
    list.length === 0
      ? 'no request is blocked'
      : `${formatTable([HEADING, ...list.map(toRow)])}\nnext: "bergamotctl release FINGERPRINT" once the cause is known`;
  return {
    exitCode: failed.length === 0 ? EXIT_DONE : EXIT_FAILED,
    value: { blocks: list, unanswered: failed.map(({ hostUrl }) => hostUrl) },
    text: [table, ...notes].join('\n'),
  };
};

/** `bergamotctl poison`. */
const poison: CommandSpec = {
  name: 'poison',
  summary: 'list the requests that are blocked because they crashed servers',
  description:
    'Lists the fingerprints of requests that crashed two backend servers and are refused until their block ends. ' +
    'Exit code 1 when a host does not answer.',
  args: [],
  options: ['host', 'settings'],
  required: ['host'],
  example: 'bergamotctl poison --host http://10.0.0.7:7000 --host http://10.0.0.8:7000',
  run,
};

export default poison;
