import { parseArgs } from 'node:util';
import { toError } from '@bergamotcove/errors';
import CtlError from '../CtlError.js';
import type { CommandOptions, CommandSpec, OptionName } from '../types.js';
import OPTION_TABLE from './optionTable.js';

const DEFAULT_TIMEOUT_SECONDS = 10;

/** Values of the options as the parser returns them. */
type RawOptions = Readonly<Record<string, string | boolean | readonly (string | boolean)[] | undefined>>;

/** A command line that matches its command. */
export interface ParsedCommandLine {
  readonly args: readonly string[];
  readonly options: CommandOptions;
  readonly help: boolean;
}

const toParserOptions = (names: readonly OptionName[]) => ({
  json: { type: 'boolean' as const },
  help: { type: 'boolean' as const },
  ...Object.fromEntries(
    names.map((name) => {
      const { value, repeated } = OPTION_TABLE[name];
      return [
        name,
        { type: value === undefined ? ('boolean' as const) : ('string' as const), multiple: repeated === true },
      ];
    }),
  ),
});

const readNumber = (values: RawOptions, name: OptionName, minimum: number): number | undefined => {
  const text = values[name];
  if (text === undefined) {
    return undefined;
  }
  const value = Number(text);
  if (!Number.isSafeInteger(value) || value < minimum || text === '') {
    throw new CtlError('usage', `--${name}: expected a whole number from ${minimum}, found "${String(text)}"`);
  }
  return value;
};

/** Entry hosts are called over HTTP, gateways over the links that gateways use between each other. */
const PROTOCOLS: Readonly<Record<'store' | 'host', readonly string[]>> = { store: ['http:'], host: ['http:', 'link:'] };

const readUrls = (values: RawOptions, name: 'store' | 'host'): readonly string[] => {
  const urls = (values[name] ?? []) as readonly string[];
  urls.forEach((url) => {
    const parsed = URL.canParse(url) ? new URL(url) : undefined;
    if (parsed === undefined || !PROTOCOLS[name].includes(parsed.protocol) || parsed.port === '') {
      throw new CtlError('usage', `--${name}: expected a URL such as http://10.0.0.5:7000, found "${url}"`);
    }
  });
  return urls;
};

const readOptions = (values: RawOptions): CommandOptions => {
  const expect = readNumber(values, 'expect', 0);
  const version = readNumber(values, 'version', 1);
  const limit = readNumber(values, 'limit', 1);
  const { change, settings } = values;
  return {
    store: readUrls(values, 'store'),
    host: readUrls(values, 'host'),
    ...(expect === undefined ? {} : { expect }),
    ...(version === undefined ? {} : { version }),
    ...(limit === undefined ? {} : { limit }),
    ...(typeof settings === 'string' ? { settings } : {}),
    ...(typeof change === 'string' ? { change } : {}),
    timeoutSeconds: readNumber(values, 'timeout', 1) ?? DEFAULT_TIMEOUT_SECONDS,
    wait: values.wait === true,
    json: values.json === true,
  };
};

const checkArguments = (command: CommandSpec, args: readonly string[]): void => {
  const missing = command.args.find((argument, index) => argument.optional !== true && args[index] === undefined);
  if (missing !== undefined) {
    throw new CtlError('usage', `argument ${missing.name} is missing`);
  }
  const takesMore = command.args.some((argument) => argument.repeated === true);
  if (!takesMore && args.length > command.args.length) {
    throw new CtlError('usage', `unexpected argument "${args[command.args.length]}"`);
  }
};

const checkRequired = (command: CommandSpec, options: CommandOptions): void => {
  const missing = command.required.find((name) => (name === 'store' || name === 'host') && options[name].length === 0);
  if (missing !== undefined) {
    throw new CtlError('usage', `option --${missing} ${OPTION_TABLE[missing].value} is missing`);
  }
};

/**
 * Parses the arguments that follow the name of a command.
 *
 * @param command - the command
 * @param argv - arguments after its name
 * @returns arguments and options
 * @throws CtlError `usage` that names the wrong argument
 * @example
 * parseCommandLine(getCommand, ['clerk', '--store', 'http://10.0.0.5:2379']);
 */
export default function parseCommandLine(command: CommandSpec, argv: readonly string[]): ParsedCommandLine {
  let parsed;
  try {
    parsed = parseArgs({ args: [...argv], allowPositionals: true, options: toParserOptions(command.options) });
  } catch (cause) {
    // The first sentence names the argument; the rest explains how to pass values that start with a dash.
    throw new CtlError('usage', toError(cause).message.split('. ')[0] ?? '', { cause });
  }
  const values: RawOptions = parsed.values;
  const help = values.help === true;
  const options = readOptions(help ? { json: values.json } : values);
  if (!help) {
    checkArguments(command, parsed.positionals);
    checkRequired(command, options);
  }
  return { args: parsed.positionals, options, help };
}
