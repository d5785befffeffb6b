import type { BatchSpec } from '@bergamotcove/config';
import type { BatchJob, BatchServer } from '../types.js';
import mayRun from './mayRun.js';
import { usualCallMs } from './poolCapacity.js';
import { toCrossDomainMs } from './predictCallEnd.js';
import { readRoom, readSlowness, type ServerState } from './serverState.js';

/** Calls that servers can start now or soon, for the pieces whose inputs are in their failure domains. */
export interface NearbySlots {
  /**
   * Reserves places for the pieces of a job in the next call of a server in the failure domain of its inputs, if that
   * starts early enough; false when the given server should run them.
   */
  reserve(job: BatchJob, pieceCount: number, server: BatchServer): boolean;
}

interface Slot {
  readonly server: BatchServer;
  readonly freeInMs: number;
  roomBytes: number;
  pieces: number;
}

/** Pieces are not left to servers that are slower than this. */
const MAX_HEALTHY_SLOWNESS = 1.5;

const readFreeInMs = ({ calls }: ServerState, { parallelCalls }: BatchSpec, nowMs: number): number => {
  const endsAtMs = [...calls.values()].sort((a, b) => b - a);
  return Math.max(0, (endsAtMs[parallelCalls - 1] ?? nowMs) - nowMs);
};

class Slots implements NearbySlots {
  private readonly byDomain = new Map<string, Slot[]>();

  constructor(
    states: readonly ServerState[],
    private readonly spec: BatchSpec,
    private readonly nowMs: number,
  ) {
    states
      .filter((state) => readSlowness(state, nowMs) < MAX_HEALTHY_SLOWNESS)
      .forEach((state) => {
        const { server } = state;
        const slots = this.byDomain.get(server.failureDomain) ?? [];
        const roomBytes = readRoom(state, spec, nowMs).usableBytes;
        slots.push({ server, freeInMs: readFreeInMs(state, spec, nowMs), roomBytes, pieces: spec.maxPieces });
        this.byDomain.set(server.failureDomain, slots);
      });
  }

  reserve(job: BatchJob, pieceCount: number, server: BatchServer): boolean {
    const { failureDomain, inputBytes, resultBytes, dueAtMs } = job;
    if (failureDomain === server.failureDomain) {
      return false;
    }
    // A job waits for a nearer server less than a call takes, and no longer than it can and be on time.
    const crossingMs = toCrossDomainMs(pieceCount * (inputBytes + resultBytes));
    const spareMs = dueAtMs - this.nowMs - usualCallMs(this.spec);
    const limitMs = Math.min(crossingMs, this.spec.callMs, spareMs);
    const roomBytes = pieceCount * resultBytes;
    const slot = this.byDomain
      .get(failureDomain)
      ?.find(
        (each) =>
          (each.freeInMs === 0 || each.freeInMs < limitMs) &&
          each.pieces >= pieceCount &&
          each.roomBytes >= roomBytes &&
          mayRun(job, each.server),
      );
    if (slot === undefined) {
      return false;
    }
    slot.pieces -= pieceCount;
    slot.roomBytes -= roomBytes;
    return true;
  }
}

/**
 * Finds the calls that servers near the inputs of jobs can start. A piece in another failure domain fetches its inputs from
 * there, each piece by itself, so a short wait for a nearer server costs less than the transfer.
 *
 * @param states - servers without an assigned batch
 * @param spec - batch settings of the pool
 * @param nowMs - monotonic time
 * @returns the slots
 */
export default function createNearbySlots(states: readonly ServerState[], spec: BatchSpec, nowMs: number): NearbySlots {
  return new Slots(states, spec, nowMs);
}
