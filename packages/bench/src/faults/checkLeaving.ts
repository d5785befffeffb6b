import { LEAVING_KNOWN_MS } from './constants.js';
import type { Trigger } from './createTrigger.js';
import sendCallerRequest from './sendCallerRequest.js';
import type { Cell } from './types.js';
import type { World } from './world/startWorld.js';

/** Requests through each host; a single one could miss the leaving server by chance. */
const REQUESTS_PER_HOST = 4;

/**
 * Checks that a leaving server gets no new work once every host must know that it leaves. The requests come from
 * other callers; their outcomes are not checked here.
 *
 * @param world - the world, with the fault in force
 * @param trigger - counts what servers receive
 * @param cell - cell whose operation is sent
 * @returns violations; none when no server is leaving
 */
export default async function checkLeaving(world: World, trigger: Trigger, cell: Cell): Promise<readonly string[]> {
  if (world.leavingServers.size === 0) {
    return [];
  }
  world.publishLeavingServers();
  await new Promise<void>((resolve) => {
    world.clock.schedule(LEAVING_KNOWN_MS, resolve);
  });
  const before = new Map([...world.leavingServers].map((serverId) => [serverId, trigger.received(serverId)]));
  const hosts = world.hosts.filter((host) => !world.crashedHosts.has(host.hostId));
  await Promise.all(
    hosts.flatMap((host) =>
      Array.from({ length: REQUESTS_PER_HOST }, (_, index) => {
        const marker = `after-leaving-${host.hostId}-${index}`;
        const { operation } = cell;
        return sendCallerRequest({ port: host.callers.port, operation, marker, idempotencyKey: marker });
      }),
    ),
  );
  return [...before].flatMap(([serverId, received]) => {
    const after = trigger.received(serverId) - received;
    return after === 0 ? [] : [`the leaving server ${serverId} got ${after} requests after ${LEAVING_KNOWN_MS} ms`];
  });
}
