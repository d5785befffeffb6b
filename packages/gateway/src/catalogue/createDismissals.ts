import type { ServerEntry } from '../ports.js';

/** One process of a server. */
export type ServerProcess = Pick<ServerEntry, 'serverId' | 'startedAtMs'>;

/** Processes that get no new work, whatever their entries say. */
export interface Dismissals {
  /** False when the process was dismissed before. */
  add(process: ServerProcess): boolean;
  has(process: ServerProcess): boolean;
}

/** Dismissed processes that are remembered; more than a fleet replaces while an old entry is on its way. */
const MAX_DISMISSED = 5_000;

const formatProcess = ({ serverId, startedAtMs }: ServerProcess): string => `${serverId} ${startedAtMs}`;

/**
 * Creates an empty set of dismissed processes.
 *
 * @returns the set
 */
export default function createDismissals(): Dismissals {
  const dismissed = new Set<string>();
  return {
    add: (process) => {
      const name = formatProcess(process);
      if (dismissed.has(name)) {
        return false;
      }
      dismissed.add(name);
      if (dismissed.size > MAX_DISMISSED) {
        dismissed.delete(dismissed.values().next().value as string);
      }
      return true;
    },
    has: (process) => dismissed.has(formatProcess(process)),
  };
}
