import { createManualClock, type ManualClock } from '@bergamotcove/clock';
import type { ShardLimits } from '@bergamotcove/decide';
import type { StoreClient } from '@bergamotcove/backends';
import { TransportError, type PeerClient, type PeerServer } from '@bergamotcove/transport';
import createClaimLogs, { type ClaimLogs } from '../createClaimLogs.js';
import createOpenClaims from '../createOpenClaims.js';
import registerClaimMethods from '../registerClaimMethods.js';

/** How a call between hosts behaves. */
export type PeerBehaviour = 'answered' | 'not-connected' | 'reply-lost';

/** Hosts whose logs share one store; calls between them stay in this process. */
export interface LogHosts {
  readonly clock: ManualClock;
  readonly logs: readonly ClaimLogs[];
}

type Handler = (params: unknown) => Promise<unknown>;

const rejectLater = (clock: ManualClock, timeoutMs: number): Promise<never> =>
  new Promise((_, reject) => {
    clock.schedule(timeoutMs, () => {
      reject(new TransportError('aborted', 'no reply in time'));
    });
  });

/**
 * Starts hosts that share one store.
 *
 * @param store - the shared store
 * @param options - number of hosts, limits of the shards, and behaviour of calls between hosts
 * @returns the hosts
 */
export default function startLogHosts(
  store: StoreClient,
  options: { readonly hosts: number; readonly limits: ShardLimits; readonly gate: () => Promise<PeerBehaviour> },
): LogHosts {
  const clock = createManualClock(1_000_000);
  const servers = Array.from({ length: options.hosts }, () => new Map<string, Handler>());
  const views = servers.map((_, index) => ({
    hostId: `h${index}`,
    address: '10.0.0.1',
    peersPort: index,
    failureDomain: 'a',
    region: 'r',
  }));
  const peers: PeerClient = {
    call: async (target, method, params, { timeoutMs }) => {
      const run = async (): Promise<unknown> => {
        const behaviour = await options.gate();
        if (behaviour === 'not-connected') {
          throw new TransportError('not-connected', 'refused');
        }
        const reply = await servers[target.port]?.get(method)?.(params);
        return behaviour === 'answered' ? reply : rejectLater(clock, timeoutMs ?? 1_000);
      };
      return Promise.race([run(), rejectLater(clock, timeoutMs ?? 1_000)]);
    },
  };
  const logs = servers.map((methods, index) => {
    const identity = { hostId: `h${index}`, processId: `h${index}/p` };
    const directory = { liveHosts: () => views };
    const created = createClaimLogs({ clock, store, peers, directory, limits: options.limits, ...identity });
    const server = { register: (method: string, handle: Handler) => methods.set(method, handle) };
    registerClaimMethods(server as unknown as PeerServer, created, createOpenClaims(clock, created));
    return created;
  });
  return { clock, logs };
}
