import type { EventQueue } from '../_lib/createEventQueue.js';

/** The link between the regions, one queue a direction. */
export interface Link {
  /** Sends bytes; returns the delay until the last one has left. */
  send(fromRegion: string, bytes: number): number;
  totalBytes(): number;
  /** Most bytes in any window of 1 s of one direction, on a grid of 50 ms. */
  maxBytesPerSecond(): number;
}

const GRID_MS = 50;
const WINDOW_CELLS = 20;
const MS_PER_SECOND = 1_000;

interface Direction {
  freeAtMs: number;
  readonly cells: Map<number, number>;
}

const maxWindow = (direction: Direction): number =>
  [...direction.cells.keys()].reduce((max, last) => {
    const sum = Array.from({ length: WINDOW_CELLS }, (_, back) => direction.cells.get(last - back) ?? 0).reduce(
      (total, bytes) => total + bytes,
      0,
    );
    return Math.max(max, sum);
  }, 0);

/** Creates a link with the given bandwidth in each direction. Bytes count when they are offered to the link. */
export default function createLink(events: EventQueue, bytesPerSecond: number): Link {
  const directions = new Map<string, Direction>();
  let total = 0;
  return {
    send: (fromRegion, bytes) => {
      const nowMs = events.nowMs();
      const direction = directions.get(fromRegion) ?? { freeAtMs: 0, cells: new Map<number, number>() };
      directions.set(fromRegion, direction);
      const cell = Math.floor(nowMs / GRID_MS);
      direction.cells.set(cell, (direction.cells.get(cell) ?? 0) + bytes);
      direction.freeAtMs = Math.max(nowMs, direction.freeAtMs) + (bytes / bytesPerSecond) * MS_PER_SECOND;
      total += bytes;
      return direction.freeAtMs - nowMs;
    },
    totalBytes: () => total,
    maxBytesPerSecond: () => Math.max(0, ...[...directions.values()].map(maxWindow)),
  };
}
