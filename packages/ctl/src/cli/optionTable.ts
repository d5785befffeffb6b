import type { OptionName } from '../types.js';

/** Syntax and help text of an option. */
export interface OptionSpec {
  /** Placeholder of the value; absent for a switch. */
  readonly value?: string;
  readonly repeated?: boolean;
  readonly text: string;
}

/** Every option except `--json` and `--help`, which all commands take. */
const OPTION_TABLE: Readonly<Record<OptionName, OptionSpec>> = {
  store: {
    value: 'URL',
    repeated: true,
    text: 'address of the configuration store; repeat it for further addresses',
  },
  host: {
    value: 'URL',
    repeated: true,
    text: 'peer address of an entry host, or link://HOST:PORT of a gateway; repeat it for further hosts',
  },
  settings: { value: 'FILE', text: 'settings of an entry host; their first peer key signs the calls to the hosts' },
  expect: { value: 'VERSION', text: 'version that the change is based on; 0 when the service is new' },
  version: { value: 'VERSION', text: 'version to read; the current one by default' },
  limit: { value: 'COUNT', text: 'number of versions, newest first; 20 by default' },
  change: { value: 'ID', text: 'id of an earlier change whose outcome was unknown' },
  timeout: { value: 'SECONDS', text: 'time limit for a change or a wait; 10 by default' },
  wait: { text: 'wait until the hosts have stopped' },
};

export default OPTION_TABLE;
