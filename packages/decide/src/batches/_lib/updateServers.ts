import type { BatchServer } from '../types.js';
import { createServerState, type ServerState } from './serverState.js';

/** Servers of a queue by id: those that are listed, and those that were listed before and may still hold results. */
export interface KnownServers {
  readonly listed: Map<string, ServerState>;
  readonly unlisted: Map<string, ServerState>;
}

const mayHoldResults = ({ held, calls }: ServerState, nowMs: number): boolean =>
  calls.size > 0 || held.some(({ expiresAtMs }) => expiresAtMs > nowMs);

/**
 * Replaces the listed servers. A server that is listed again within the lifetime of its results keeps its state, because
 * it still holds them; one that has started again holds none.
 *
 * @param known - the servers of the queue, which are updated
 * @param servers - servers that are listed now
 * @param nowMs - monotonic time
 */
export default function updateServers(
  { listed, unlisted }: KnownServers,
  servers: readonly BatchServer[],
  nowMs: number,
): void {
  const ids = new Set(servers.map(({ serverId }) => serverId));
  listed.forEach((state, id) => {
    if (!ids.has(id)) {
      listed.delete(id);
      unlisted.set(id, state);
    }
  });
  servers.forEach((server) => {
    const known = listed.get(server.serverId) ?? unlisted.get(server.serverId);
    const state = known ?? createServerState(server, nowMs);
    if (state.server.startedAtMs !== server.startedAtMs) {
      state.held = [];
    }
    state.server = server;
    state.backoffUntilMs = Math.max(state.backoffUntilMs, server.restsUntilMs ?? 0);
    listed.set(server.serverId, state);
    unlisted.delete(server.serverId);
  });
  unlisted.forEach((state, id) => {
    if (!mayHoldResults(state, nowMs)) {
      unlisted.delete(id);
    }
  });
}
