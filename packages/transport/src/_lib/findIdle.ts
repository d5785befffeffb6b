import type { Connection } from './findConnectionPhase.js';

/** Connections that have been idle for less are not closed for a new one; their first request may be on its way. */
const IDLE_MS = 1_000;
/** Connections that are looked at; those with the oldest requests come first. */
const CANDIDATES = 16;

/**
 * Finds a connection that may be closed so that a new one has room.
 *
 * @param connections - connections, the ones with the oldest requests first
 * @param nowMs - time, as of which connections were active
 * @returns the connection that has been idle for longest among the first ones
 */
export default function findIdle(connections: Iterable<Connection>, nowMs: number): Connection | undefined {
  let looked = 0;
  for (const connection of connections) {
    if (connection.open.size === 0 && nowMs - connection.activeMs >= IDLE_MS) {
      return connection;
    }
    looked += 1;
    if (looked === CANDIDATES) {
      return undefined;
    }
  }
  return undefined;
}
