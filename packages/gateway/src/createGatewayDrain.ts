import type { Clock } from '@bergamotcove/clock';
import type { DrainTimes } from '@bergamotcove/decide';
import { createDrain } from '@bergamotcove/entry';
import type { Logger } from '@bergamotcove/log';
import type { CallerServer } from './callers/createCallerServer.js';
import type { SettingsHolder } from './createSettingsHolder.js';
import type { HostRegistry } from './hosts/createHostRegistry.js';
import type { BatchOwners } from './stages/createBatchOwners.js';

/** State of the shutdown of this host; its times are set once it has begun. */
export interface StopState {
  times: DrainTimes | undefined;
}

/** Parts of a gateway that its drain stops. */
export interface DrainedParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly owners: BatchOwners;
  readonly liveSettings: SettingsHolder;
  readonly callers: CallerServer;
  readonly hosts: HostRegistry;
  readonly stop: StopState;
  readonly close: () => Promise<void>;
}

/** The load balancer checks the health every second and stops sending new connections after two failures. */
const BALANCER_LAG_MS = 2_200;
/** Time before the end of the drain at which requests that have not been sent to a server are refused. */
const UNSENT_RESERVE_MS = 2_000;
/** Time for the last answers to leave this host. */
const LAST_ANSWERS_MS = 150;
/** Part of the grace period that is reserved for the shutdown of the process itself. */
const STOP_RESERVE_MS = 500;
const IDLE_POLL_MS = 50;

const awaitIdle = (clock: Clock, callers: CallerServer): Promise<void> =>
  new Promise((resolve) => {
    const poll = (): void => {
      if (callers.openRequests() === 0) {
        resolve();
      } else {
        clock.schedule(IDLE_POLL_MS, poll);
      }
    };
    poll();
  });

/**
 * Creates the drain of a gateway: it stops accepting requests, hands over its duties and finishes what is open.
 *
 * @param parts - parts of the gateway
 * @returns starts the drain; resolves when the gateway has stopped
 */
export default function createGatewayDrain(parts: DrainedParts): () => Promise<void> {
  const { clock, logger, owners, liveSettings, callers, hosts, stop, close } = parts;
  const { graceMs } = liveSettings.current().stop;
  const state = stop;
  return createDrain({
    clock,
    logger,
    balancerLagMs: BALANCER_LAG_MS,
    timeoutMs: graceMs - BALANCER_LAG_MS - STOP_RESERVE_MS,
    onStart: () => {
      const startedAtMs = clock.monotonicMs();
      state.times = { startedAtMs, endsAtMs: startedAtMs + liveSettings.current().stop.graceMs - STOP_RESERVE_MS };
      // If the entry cannot be removed, it expires with its lease.
      hosts.leave().catch(() => undefined);
      owners.leave();
      callers.drain();
      callers.stopOpen('begin');
      const unsentInMs = state.times.endsAtMs - UNSENT_RESERVE_MS - startedAtMs;
      clock.schedule(Math.max(0, unsentInMs), () => callers.stopOpen('refuse-unsent'));
    },
    inFlight: () => callers.openRequests(),
    idle: () => awaitIdle(clock, callers),
    endOpen: () => {
      callers.stopOpen('end');
      return new Promise((resolve) => {
        clock.schedule(LAST_ANSWERS_MS, resolve);
      });
    },
    close,
    abort: () => undefined,
  });
}
