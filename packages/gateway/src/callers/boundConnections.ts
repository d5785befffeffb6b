import { planConnections } from '@bergamotcove/decide';
import type { ConnectionBounds } from '@bergamotcove/transport';
import type { GatewaySettings } from '../settings.js';
import readHostResources from './readHostResources.js';

const MB = 1_048_576;
const MS_PER_SECOND = 1_000;

/** Leaves out what is not set, so that the defaults stay. */
const pickSet = (bounds: {
  readonly [Name in keyof ConnectionBounds]: number | undefined;
}): Partial<ConnectionBounds> => Object.fromEntries(Object.entries(bounds).filter(([, value]) => value !== undefined));

/**
 * Finds the bounds of the connections of this host.
 *
 * @param settings - resources of the host and limits of callers' connections
 * @returns the bounds of the listener of callers and of that of the health check
 */
export default function boundConnections({ resources, callerConnections }: GatewaySettings): {
  readonly callers: Partial<ConnectionBounds>;
  readonly health: Partial<ConnectionBounds>;
} {
  const { callers, health } = planConnections(readHostResources(resources));
  const { maxConnections, maxHeldMb, maxOpenRequests, stallSeconds } = callerConnections ?? {};
  const set = pickSet({
    maxConnections,
    maxHeldBytes: maxHeldMb === undefined ? undefined : maxHeldMb * MB,
    maxOpenRequests,
    stallTimeoutMs: stallSeconds === undefined ? undefined : stallSeconds * MS_PER_SECOND,
  });
  return { callers: { ...callers, ...set }, health };
}
