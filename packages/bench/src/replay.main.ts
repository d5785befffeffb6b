/** `npm run replay -- TRACE...`: replays recorded traces through the decision logic. */
import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { toError } from '@bergamotcove/errors';
import parseTrace from './replay/parseTrace.js';
import replayTrace from './replay/replayTrace.js';

const USAGE =
  'usage: npm run replay -- TRACE...\n\n  TRACE  file of JSON lines, for instance traces/swapped-answer.jsonl';
const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

const replayFile = (file: string): boolean => {
  const { name, events, differences } = replayTrace(parseTrace(readFileSync(file, 'utf8')));
  console.log(`${differences.length === 0 ? 'ok ' : 'RED'} ${name}: ${events} events`);
  differences.forEach((difference) => console.log(`  ${difference}`));
  return differences.length === 0;
};

const main = (): number => {
  const { positionals } = parseArgs({ allowPositionals: true });
  if (positionals.length === 0) {
    console.error(USAGE);
    return EXIT_USAGE;
  }
  return positionals.map(replayFile).every((held) => held) ? 0 : EXIT_FAILED;
};

try {
  process.exitCode = main();
} catch (cause) {
  console.error(`replay: ${toError(cause).message}\n${USAGE}`);
  process.exitCode = EXIT_USAGE;
}
