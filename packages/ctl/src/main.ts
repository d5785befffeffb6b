/** The operators' command line: `bergamotctl COMMAND [ARGUMENTS] [OPTIONS]`. */
import { randomUUID } from 'node:crypto';
import { userInfo } from 'node:os';
import { createSystemClock } from '@bergamotcove/clock';
import { readJsonFile } from '@bergamotcove/config';
import { createStoreClient } from '@bergamotcove/backends';
import readTextFile from './_lib/readTextFile.js';
import runCli from './cli/runCli.js';
import COMMANDS from './commands/index.js';
import callHost from './hosts/callHost.js';
import type { CtlPorts } from './types.js';

const STORE_TIMEOUT_MS = 2_000;
const DEFAULT_COLUMNS = 120;

const ports: CtlPorts = {
  clock: createSystemClock(),
  openStore: (urls) => createStoreClient({ urls, timeoutMs: STORE_TIMEOUT_MS }),
  callHost,
  readJson: readJsonFile,
  readText: readTextFile,
  newChangeId: randomUUID,
  userName: () => userInfo().username,
  writeOut: (line) => console.log(line),
  writeErr: (line) => console.error(line),
  columns: process.stdout.columns ?? DEFAULT_COLUMNS,
};

process.exitCode = await runCli(COMMANDS, process.argv.slice(2), ports);
