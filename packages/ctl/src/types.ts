import type { Clock } from '@bergamotcove/clock';
import type { StoreClient } from '@bergamotcove/backends';

/** Options that the commands take; each command lists its own. */
export interface CommandOptions {
  readonly store: readonly string[];
  readonly host: readonly string[];
  /** Settings file whose peer keys sign the calls to the hosts. */
  readonly settings?: string;
  readonly expect?: number;
  readonly version?: number;
  readonly limit?: number;
  readonly change?: string;
  /** Time limit for resolving a change whose reply was lost, or for waiting for a drain. */
  readonly timeoutSeconds: number;
  readonly wait: boolean;
  readonly json: boolean;
}

/** Name of an option on the command line. */
export type OptionName = 'store' | 'host' | 'settings' | 'expect' | 'version' | 'limit' | 'change' | 'timeout' | 'wait';

/** Options of a call to an entry host. */
export interface CallHostOptions {
  /** Settings file whose peer keys sign the call; a host answers unsigned calls only over loopback. */
  readonly settings?: string;
}

/** What the commands need from the process. */
export interface CtlPorts {
  readonly clock: Clock;
  readonly openStore: (urls: readonly string[]) => StoreClient;
  /** Calls an operator method of an entry host; rejects with TransportError. */
  readonly callHost: (hostUrl: string, method: string, params: object, options: CallHostOptions) => Promise<unknown>;
  /** Reads a JSON file; throws ConfigError. */
  readonly readJson: (file: string) => unknown;
  /** Reads a text file, or standard input for `-`; throws CtlError. */
  readonly readText: (file: string) => string;
  readonly newChangeId: () => string;
  readonly userName: () => string;
  readonly writeOut: (line: string) => void;
  readonly writeErr: (line: string) => void;
  /** Width of the terminal. */
  readonly columns: number;
}

/** A parsed command line with the ports. */
export interface CommandContext {
  readonly ports: CtlPorts;
  readonly args: readonly string[];
  readonly options: CommandOptions;
}

/** Output and exit code of a command. */
export interface CommandResult {
  readonly exitCode: number;
  /** Printed with `--json`. */
  readonly value: unknown;
  /** Printed otherwise. */
  readonly text: string;
}

/** One positional argument. */
export interface ArgumentSpec {
  readonly name: string;
  readonly optional?: boolean;
  /** Takes all remaining positional arguments. */
  readonly repeated?: boolean;
}

/** One command. */
export interface CommandSpec {
  readonly name: string;
  readonly summary: string;
  /** Paragraph of the help text. */
  readonly description: string;
  readonly args: readonly ArgumentSpec[];
  readonly options: readonly OptionName[];
  /** Options without which the command cannot run. */
  readonly required: readonly OptionName[];
  readonly example: string;
  readonly run: (context: CommandContext) => Promise<CommandResult>;
}
