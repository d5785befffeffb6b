import type { ArgumentSpec, CommandSpec, OptionName } from '../types.js';
import OPTION_TABLE from './optionTable.js';

const NAME_WIDTH = 20;

const EXIT_CODES = `exit codes: 0 done, 1 failed, 2 wrong arguments, 3 conflict with a newer version, 4 outcome unknown`;

const formatArgument = (argument: ArgumentSpec): string => {
  const name = argument.repeated === true ? `${argument.name}...` : argument.name;
  return argument.optional === true ? `[${name}]` : name;
};

const formatOption = (name: OptionName): string => {
  const { value } = OPTION_TABLE[name];
  return value === undefined ? `--${name}` : `--${name} ${value}`;
};

const formatLine = (name: string, text: string): string => `  ${name.padEnd(NAME_WIDTH)} ${text}`;

/**
 * Formats the help text of one command.
 *
 * @param command - the command
 * @returns the text
 */
export function formatCommandHelp(command: CommandSpec): string {
  const required = command.required.map(formatOption);
  const usage = ['bergamotctl', command.name, ...command.args.map(formatArgument), ...required, '[OPTIONS]'].join(' ');
  const options = command.options.map((name) => formatLine(formatOption(name), OPTION_TABLE[name].text));
  return [
    `usage: ${usage}`,
    '',
    command.description,
    '',
    ...options,
    formatLine('--json', 'print JSON'),
    formatLine('--help', 'show this text'),
    '',
    `example: ${command.example}`,
    EXIT_CODES,
  ].join('\n');
}

/**
 * Formats the overview of all commands.
 *
 * @param commands - the commands
 * @returns the text
 */
export function formatOverview(commands: readonly CommandSpec[]): string {
  const lines = commands.map((command) =>
    formatLine([command.name, ...command.args.map(formatArgument)].join(' '), command.summary),
  );
  return [
    'usage: bergamotctl COMMAND [ARGUMENTS] [OPTIONS]',
    '',
    ...lines,
    formatLine('help [COMMAND]', 'show this text or the help of one command'),
    '',
    'Every command takes --json and --help.',
    EXIT_CODES,
  ].join('\n');
}
