import type { ServerEntry } from '../ports.js';

/** Identifies one process of a server. */
export type ServerProcess = Pick<ServerEntry, 'serverId' | 'startedAtMs'>;

/** Processes that get no new work, whatever their entries in the store say. */
export interface ExcludedProcesses {
  /** Adds a process; false when it was excluded before. */
  add(process: ServerProcess): boolean;
  has(process: ServerProcess): boolean;
}

/** Number of processes that are kept; more than a fleet replaces while an outdated entry may still arrive. */
const MAX_EXCLUDED = 5_000;

const formatProcess = ({ serverId, startedAtMs }: ServerProcess): string => `${serverId} ${startedAtMs}`;

/**
 * Creates an empty set of excluded processes.
 *
 * @returns the set
 */
export default function createExcludedProcesses(): ExcludedProcesses {
  const excluded = new Set<string>();
  return {
    add: (process) => {
      const key = formatProcess(process);
      if (excluded.has(key)) {
        return false;
      }
      excluded.add(key);
      if (excluded.size > MAX_EXCLUDED) {
        excluded.delete(excluded.values().next().value as string);
      }
      return true;
    },
    has: (process) => excluded.has(formatProcess(process)),
  };
}
