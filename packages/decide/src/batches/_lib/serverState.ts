import type { BatchSpec } from '@bergamotcove/config';
import type { BatchServer } from '../types.js';

/** A result that occupies room at its server. */
export interface HeldResult {
  readonly bytes: number;
  expiresAtMs: number;
  /** Whether the server may evict it when its room is needed. */
  evictable: boolean;
}

/** State of one stage server. */
export interface ServerState {
  server: BatchServer;
  /** Expected end times of the running calls, by call id. */
  readonly calls: Map<number, number>;
  /** Bytes of the results of the running calls, by call id: a server reserves them when the call begins. */
  readonly reservedBytes: Map<number, number>;
  /** Duration of calls relative to the usual duration. */
  slowness: number;
  slownessAtMs: number;
  /** Monotonic time before which the server gets no call. */
  backoffUntilMs: number;
  failures: number;
  held: HeldResult[];
}

/** Weight of the last call in the moving average of the slowness. */
const SLOWNESS_WEIGHT = 0.6;
/** Time constant with which a learnt slowness decays, so that a server that was slow is tried again. */
const SLOWNESS_DECAY_MS = 4_000;
const MIN_SLOWNESS = 0.7;
const MAX_SLOWNESS = 12;
/** Back-off of a server after a failed call; doubles with each consecutive failure. */
const INITIAL_BACKOFF_MS = 150;
const MAX_BACKOFF_MS = 1_200;
/** Back-off of a server that refused a call. */
const REFUSAL_BACKOFF_MS = 60;

/** Returns the current slowness of a server. */
export const readSlowness = (state: ServerState, nowMs: number): number =>
  1 + (state.slowness - 1) * Math.exp(-(nowMs - state.slownessAtMs) / SLOWNESS_DECAY_MS);

/**
 * Share of the room that is used, because result sizes are estimates. A piece whose result finds no room runs again,
 * without the inputs that were evicted.
 */
export const USABLE_ROOM_SHARE = 0.9;

/** Updates the slowness with a call that took `ratio` times the usual duration. */
export const learnSlowness = (state: ServerState, ratio: number, nowMs: number): void => {
  const updated = state;
  const blended = readSlowness(state, nowMs) * (1 - SLOWNESS_WEIGHT) + ratio * SLOWNESS_WEIGHT;
  updated.slowness = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, blended));
  updated.slownessAtMs = nowMs;
};

/**
 * Returns the room for results at a server, in bytes, with that of running calls reserved: including evictable results,
 * and free without evictions.
 */
export const readRoom = (
  state: ServerState,
  spec: BatchSpec,
  nowMs: number,
): { readonly usableBytes: number; readonly freeBytes: number } => {
  const updated = state;
  updated.held = state.held.filter((result) => result.expiresAtMs > nowMs);
  const sum = (results: readonly HeldResult[]): number => results.reduce((total, { bytes }) => total + bytes, 0);
  const reservedBytes = [...state.reservedBytes.values()].reduce((total, bytes) => total + bytes, 0);
  const roomBytes = spec.resultMemoryBytes * USABLE_ROOM_SHARE - reservedBytes;
  return {
    usableBytes: roomBytes - sum(updated.held.filter(({ evictable }) => !evictable)),
    freeBytes: roomBytes - sum(updated.held),
  };
};

/** Largest difference between the expiry of a result as its owner and as the queue noted it. */
const MAX_EXPIRY_DIFFERENCE_MS = 20;

/**
 * Finds a result by its size and expiry, one that may be evicted first. The expiry matters: otherwise the room of an
 * expired result, which is free already, would be freed again or count as evictable in place of another one.
 */
export const findHeldResult = (
  results: readonly HeldResult[],
  { bytes, expiresAtMs }: { readonly bytes: number; readonly expiresAtMs: number | undefined },
): HeldResult | undefined => {
  const matching = results.filter(
    (result) =>
      result.bytes === bytes &&
      (expiresAtMs === undefined || Math.abs(result.expiresAtMs - expiresAtMs) <= MAX_EXPIRY_DIFFERENCE_MS),
  );
  return matching.find(({ evictable }) => evictable) ?? matching[0];
};

/** Returns the shares of the room of all servers that are occupied, and that are evictable. */
export const readShares = (
  states: readonly ServerState[],
  spec: BatchSpec,
  nowMs: number,
): { readonly takenShare: number; readonly spareShare: number } => {
  const rooms = states.map((state) => readRoom(state, spec, nowMs));
  const roomBytes = Math.max(1, rooms.length * spec.resultMemoryBytes * USABLE_ROOM_SHARE);
  const freeBytes = rooms.reduce((sum, room) => sum + room.freeBytes, 0);
  const usableBytes = rooms.reduce((sum, room) => sum + room.usableBytes, 0);
  return {
    takenShare: rooms.length === 0 ? 0 : 1 - freeBytes / roomBytes,
    spareShare: (usableBytes - freeBytes) / roomBytes,
  };
};

/** Returns the time in ms until the first server is expected to have ended its calls. */
export const readFreeInMs = (states: readonly ServerState[], nowMs: number): number =>
  Math.min(Infinity, ...states.map(({ calls }) => Math.max(0, ...[...calls.values()].map((endMs) => endMs - nowMs))));

/** Starts the back-off of a server that refused a call or whose connection broke. */
export const backOffServer = (state: ServerState, type: 'refused' | 'broken', nowMs: number): void => {
  const updated = state;
  if (type === 'refused') {
    updated.backoffUntilMs = Math.max(state.backoffUntilMs, nowMs + REFUSAL_BACKOFF_MS);
    return;
  }
  const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** state.failures);
  updated.backoffUntilMs = Math.max(state.backoffUntilMs, nowMs + backoffMs);
  updated.failures += 1;
};

/** Creates the state of a server that was never called. */
export const createServerState = (server: BatchServer, nowMs: number): ServerState => ({
  server,
  calls: new Map(),
  reservedBytes: new Map(),
  slowness: 1,
  slownessAtMs: nowMs,
  backoffUntilMs: 0,
  failures: 0,
  held: [],
});
