import { ConfigError } from '@bergamotcove/config';
import { LayerError, toError } from '@bergamotcove/errors';
import { BackendError } from '@bergamotcove/backends';
import CtlError from '../CtlError.js';
import { EXIT_DONE, EXIT_FAILED, EXIT_USAGE } from '../exitCodes.js';
import type { CommandSpec, CtlPorts } from '../types.js';
import { formatCommandHelp, formatOverview } from './formatHelp.js';
import parseCommandLine from './parseCommandLine.js';

const formatAdvice = (error: Error): string => {
  if (error instanceof BackendError) {
    return '; nothing was changed, check --store and the state of the store';
  }
  return '';
};

const describeError = (error: Error): object => ({
  message: error.message,
  ...(error instanceof LayerError ? { code: String(error.code) } : {}),
  ...(error instanceof ConfigError && error.problems.length > 0 ? { problems: error.problems } : {}),
});

const reportError = (ports: CtlPorts, error: Error, context: { readonly name: string; readonly json: boolean }) => {
  const isUsage = error instanceof CtlError && error.code === 'usage';
  const hint = isUsage ? `; see "bergamotctl help ${context.name}"` : formatAdvice(error);
  ports.writeErr(`bergamotctl ${context.name}: ${error.message}${hint}`);
  if (context.json) {
    ports.writeOut(JSON.stringify({ error: describeError(error) }));
  }
  return isUsage ? EXIT_USAGE : EXIT_FAILED;
};

const runCommand = async (command: CommandSpec, argv: readonly string[], ports: CtlPorts): Promise<number> => {
  try {
    const { args, options, help } = parseCommandLine(command, argv);
    if (help) {
      ports.writeOut(formatCommandHelp(command));
      return EXIT_DONE;
    }
    const result = await command.run({ ports, args, options });
    ports.writeOut(options.json ? JSON.stringify(result.value) : result.text);
    return result.exitCode;
  } catch (cause) {
    return reportError(ports, toError(cause), { name: command.name, json: argv.includes('--json') });
  }
};

const showHelp = (commands: readonly CommandSpec[], name: string | undefined, ports: CtlPorts): number => {
  const command = commands.find((candidate) => candidate.name === name);
  if (name !== undefined && command === undefined) {
    ports.writeErr(`bergamotctl help: no command "${name}"`);
    return EXIT_USAGE;
  }
  ports.writeOut(command === undefined ? formatOverview(commands) : formatCommandHelp(command));
  return EXIT_DONE;
};

/**
 * Runs the command line.
 *
 * @param commands - the commands
 * @param argv - arguments after the program's name
 * @param ports - what the commands need from the process
 * @returns the exit code
 * @example
 * process.exitCode = await runCli(COMMANDS, process.argv.slice(2), ports);
 */
export default async function runCli(
  commands: readonly CommandSpec[],
  argv: readonly string[],
  ports: CtlPorts,
): Promise<number> {
  const [name, ...rest] = argv;
  if (name === 'help' || name === '--help') {
    return showHelp(commands, rest[0], ports);
  }
  const command = commands.find((candidate) => candidate.name === name);
  if (command === undefined) {
    const found = name === undefined ? 'a command is missing' : `no command "${name}"`;
    ports.writeErr(`bergamotctl: ${found}\n${formatOverview(commands)}`);
    return EXIT_USAGE;
  }
  return runCommand(command, rest, ports);
}
