/** The daemon of an entry host: `bergamotd --settings FILE`. */
import { parseArgs } from 'node:util';
import { createSystemClock } from '@bergamotcove/clock';
import { ConfigError, readSettings } from '@bergamotcove/config';
import { toError } from '@bergamotcove/errors';
import { createLogger, enableLogging, type Logger } from '@bergamotcove/log';
import drainOnUncaughtError, { EXIT_FAILED } from './drain/drainOnUncaughtError.js';
import reportFailure from './drain/reportFailure.js';
import startEntryHost, { type EntryHost } from './wire.js';

const USAGE =
  'usage: bergamotd --settings FILE\n\n  --settings FILE  JSON settings of this entry host\n  --help           show this text';
const EXIT_USAGE = 2;

const fail = (message: string, code: number): never => {
  console.error(`bergamotd: ${message}`);
  return process.exit(code);
};

const readArguments = (): string => {
  try {
    const { values } = parseArgs({ options: { settings: { type: 'string' }, help: { type: 'boolean' } } });
    if (values.help === true) {
      console.log(USAGE);
      process.exit(0);
    }
    return values.settings ?? fail(`--settings is missing\n${USAGE}`, EXIT_USAGE);
  } catch (cause) {
    return fail(`${toError(cause).message}\n${USAGE}`, EXIT_USAGE);
  }
};

/** Reloads the peer keys from the settings file; unreadable settings leave the keys as they are. */
const reloadPeerKeys = (file: string, host: EntryHost, logger: Logger): void => {
  try {
    const { keys } = readSettings(file).peers;
    host.setPeerKeys(keys);
    logger.event('peerKeysChanged', { keyIds: keys.map((key) => key.id) });
  } catch (cause) {
    logger.event('settingsUnreadable', { error: toError(cause).message });
  }
};

const main = async (): Promise<void> => {
  const file = readArguments();
  const settings = readSettings(file);
  enableLogging(settings.log?.namespaces);
  const logger = createLogger('entry');
  const host = await startEntryHost(settings);
  const stop = (): void => {
    host.drain().then(
      () => process.exit(),
      (cause: unknown) => {
        reportFailure(logger, cause, 'stop');
        process.exit(EXIT_FAILED);
      },
    );
  };
  let isTold = false;
  const stopWhenTold = (): void => {
    if (isTold) {
      process.exit(EXIT_FAILED);
    }
    isTold = true;
    stop();
  };
  const { balancerLagMs, timeoutMs } = settings.drain;
  drainOnUncaughtError({
    clock: createSystemClock(),
    logger,
    stop,
    limitMs: () => balancerLagMs + timeoutMs,
    exit: () => process.exit(),
  });
  process.on('SIGTERM', stopWhenTold);
  process.on('SIGINT', stopWhenTold);
  process.on('SIGHUP', () => reloadPeerKeys(file, host, logger));
  // A supervisor may send a signal as soon as it reads this line, so the signal handlers are installed first.
  console.log(JSON.stringify({ ready: true, callersPort: host.callersPort, peersPort: host.peersPort }));
};

main().catch((cause: unknown) => {
  const error = toError(cause);
  fail(error.message, cause instanceof ConfigError ? EXIT_USAGE : EXIT_FAILED);
});
