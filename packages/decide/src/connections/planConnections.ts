/** Resources of a host that its connections use. */
export interface ConnectionResources {
  readonly memoryBytes: number;
  readonly maxDescriptors: number;
}

/** Bounds of the connections of one listener together. */
export interface ListenerBounds {
  readonly maxConnections: number;
  /** Bytes read and not handled, answers written and not taken, and open requests. */
  readonly maxHeldBytes: number;
}

/** Files, the store, links between hosts, and connections that are accepted only to be closed. */
const RESERVED_DESCRIPTORS = 264;
/** The load balancer has one or two connections to the health listener. */
const HEALTH: ListenerBounds = { maxConnections: 32, maxHeldBytes: 1_048_576 };
/** The rest of the descriptors are for connections to servers; each request that is served has one. */
const CALLERS_SHARE = 2 / 3;
/** Less than what the program leaves of the smallest host (202 MB) beside its own 90 MB and the budgets of bodies. */
const HELD_SHARE = 1 / 8;
/** What an idle connection costs the process, about 12 kB, and as much for a small request. */
const CONNECTION_BYTES = 24_576;
const MIN_CONNECTIONS = 16;

/**
 * Divides the descriptors and the memory of a host among its listeners.
 *
 * @param resources - resources of the host
 * @returns the bounds of the listener of callers and of that of the health check
 */
export default function planConnections({ memoryBytes, maxDescriptors }: ConnectionResources): {
  readonly callers: ListenerBounds;
  readonly health: ListenerBounds;
} {
  const maxHeldBytes = Math.floor(memoryBytes * HELD_SHARE);
  const byDescriptors = (maxDescriptors - RESERVED_DESCRIPTORS - HEALTH.maxConnections) * CALLERS_SHARE;
  const maxConnections = Math.floor(Math.min(byDescriptors, maxHeldBytes / CONNECTION_BYTES));
  return { callers: { maxConnections: Math.max(MIN_CONNECTIONS, maxConnections), maxHeldBytes }, health: HEALTH };
}
