import type { BatchSpec } from '@bergamotcove/config';
import type { BatchServer } from '../types.js';

/** A result that takes up room at its server. */
interface HeldResult {
  readonly bytes: number;
  expiresAtMs: number;
  /** Whether it may be given up when its room is needed. */
  spare: boolean;
}

/** What is known of one stage server. */
export interface ServerState {
  readonly server: BatchServer;
  /** Expected ends of the calls in progress, by call. */
  readonly calls: Map<number, number>;
  /** Time of calls relative to what is usual. */
  slowness: number;
  slownessAtMs: number;
  /** No call before this time. */
  restsUntilMs: number;
  failures: number;
  held: HeldResult[];
}

/** Weight of the last call in the learnt slowness. */
const SLOWNESS_WEIGHT = 0.6;
/** A learnt slowness fades with this time constant, so that a server that was slow is tried again. */
const SLOWNESS_FADE_MS = 4_000;
const MIN_SLOWNESS = 0.7;
const MAX_SLOWNESS = 12;
/** Pieces are not left for servers that are slower than this. */
const SOUND_SLOWNESS = 1.5;
/** Rest of a server after failed calls; doubles with each one in a row. */
const FIRST_REST_MS = 150;
const MAX_REST_MS = 1_200;
/** Rest of a server that did not take a call. */
const FULL_REST_MS = 60;

/** Slowness of a server by now. */
export const readSlowness = (state: ServerState, nowMs: number): number =>
  1 + (state.slowness - 1) * Math.exp(-(nowMs - state.slownessAtMs) / SLOWNESS_FADE_MS);

/** Sizes of results are approximate; a piece without room is made again, without the inputs that were given up. */
const ROOM_SHARE = 0.9;

/** Learns from a call that took `ratio` times as long as usual. */
export const learnSlowness = (state: ServerState, ratio: number, nowMs: number): void => {
  const learnt = state;
  const blended = readSlowness(state, nowMs) * (1 - SLOWNESS_WEIGHT) + ratio * SLOWNESS_WEIGHT;
  learnt.slowness = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, blended));
  learnt.slownessAtMs = nowMs;
};

/** Room for results at a server by now: all of it, and the part that is free without giving spare results up. */
export const readRoom = (
  state: ServerState,
  spec: BatchSpec,
  nowMs: number,
): { readonly usableBytes: number; readonly freeBytes: number } => {
  const kept = state;
  kept.held = state.held.filter((result) => result.expiresAtMs > nowMs);
  const sum = (results: readonly HeldResult[]): number => results.reduce((total, { bytes }) => total + bytes, 0);
  const roomBytes = spec.roomBytes * ROOM_SHARE;
  return {
    usableBytes: roomBytes - sum(kept.held.filter(({ spare }) => !spare)),
    freeBytes: roomBytes - sum(kept.held),
  };
};

/** Room of the sound servers that could begin a call now, by failure domain. */
export const readFreeRoom = (
  states: readonly ServerState[],
  spec: BatchSpec,
  nowMs: number,
): ReadonlyMap<string, number> => {
  const rooms = new Map<string, number>();
  states.forEach((state) => {
    if (state.calls.size < spec.parallelCalls && readSlowness(state, nowMs) < SOUND_SLOWNESS) {
      const { failureDomain } = state.server;
      const { usableBytes } = readRoom(state, spec, nowMs);
      rooms.set(failureDomain, Math.max(usableBytes, rooms.get(failureDomain) ?? 0));
    }
  });
  return rooms;
};

/** Shares of the room of all servers that are taken, and that are spare. */
export const readShares = (
  states: readonly ServerState[],
  spec: BatchSpec,
  nowMs: number,
): { readonly takenShare: number; readonly spareShare: number } => {
  const rooms = states.map((state) => readRoom(state, spec, nowMs));
  const roomBytes = Math.max(1, rooms.length * spec.roomBytes * ROOM_SHARE);
  const freeBytes = rooms.reduce((sum, room) => sum + room.freeBytes, 0);
  const usableBytes = rooms.reduce((sum, room) => sum + room.usableBytes, 0);
  return {
    takenShare: rooms.length === 0 ? 0 : 1 - freeBytes / roomBytes,
    spareShare: (usableBytes - freeBytes) / roomBytes,
  };
};

/** Time until the first server is expected to end its calls. */
export const readFreeInMs = (states: readonly ServerState[], nowMs: number): number =>
  Math.min(Infinity, ...states.map(({ calls }) => Math.max(0, ...[...calls.values()].map((endMs) => endMs - nowMs))));

/** Keeps calls away from a server that did not take one, or whose connection broke. */
export const restServer = (state: ServerState, type: 'refused' | 'broken', nowMs: number): void => {
  const resting = state;
  if (type === 'refused') {
    resting.restsUntilMs = Math.max(state.restsUntilMs, nowMs + FULL_REST_MS);
    return;
  }
  const restMs = Math.min(MAX_REST_MS, FIRST_REST_MS * 2 ** state.failures);
  resting.restsUntilMs = Math.max(state.restsUntilMs, nowMs + restMs);
  resting.failures += 1;
};

/** Creates what is known of a server that was never called. */
export const createServerState = (server: BatchServer, nowMs: number): ServerState => ({
  server,
  calls: new Map(),
  slowness: 1,
  slownessAtMs: nowMs,
  restsUntilMs: 0,
  failures: 0,
  held: [],
});
