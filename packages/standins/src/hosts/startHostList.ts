import { z } from 'zod';
import type { Clock, Timer } from '@bergamotcove/clock';
import serveJson, { StatusReply } from '../_lib/serveJson.js';
import type { ListenOptions, Standin } from '../types.js';

const hostSchema = z.object({
  id: z.string(),
  role: z.enum(['entry', 'server']),
  address: z.string(),
  port: z.number(),
  peerPort: z.number().optional(),
  pool: z.string().optional(),
  failureDomain: z.string(),
  region: z.string(),
  state: z.enum(['live', 'leaving']).default('live'),
});

const faultsSchema = z.strictObject({
  /** Delay after which a change of the list becomes visible. */
  lagMs: z.number().min(0).default(0),
  /** Answers status 503. */
  down: z.boolean().default(false),
});

/** One host of the list. */
export type StandinHost = z.input<typeof hostSchema>;

/** Faults of the host list as a control order states them. */
export type HostListFaults = z.input<typeof faultsSchema>;

/** A running host list. */
export interface HostListStandin extends Standin {
  setHosts(hosts: readonly StandinHost[]): void;
  setFaults(faults: HostListFaults): void;
}

const STATUS_UNAVAILABLE = 503;

/**
 * Starts a stand-in of the platform's host list. `POST /control/hosts` replaces the list, `POST /control/faults` sets
 * its lag or takes it down, `GET /control/counters` gives the number of reads.
 *
 * @param listen - address and port
 * @param options - initial hosts; a clock is needed for a lag
 * @returns the running stand-in
 */
export default async function startHostList(
  listen: ListenOptions,
  options: { readonly hosts: readonly StandinHost[]; readonly clock?: Clock },
): Promise<HostListStandin> {
  let hosts = options.hosts.map((host) => hostSchema.parse(host));
  let faults = faultsSchema.parse({});
  let revision = 1;
  let reads = 0;
  const timers = new Set<Timer>();
  const setHosts = (replacement: unknown): object => {
    const parsed = z.array(hostSchema).parse(replacement);
    const show = (): void => {
      hosts = parsed;
      revision += 1;
    };
    if (faults.lagMs === 0 || options.clock === undefined) {
      show();
    } else {
      timers.add(options.clock.schedule(faults.lagMs, show));
    }
    return { revision };
  };
  const setFaults = (orders: unknown): object => {
    faults = faultsSchema.parse(orders);
    return {};
  };
  const server = await serveJson(
    {
      'GET /v1/hosts': () => {
        reads += 1;
        return faults.down ? new StatusReply(STATUS_UNAVAILABLE, {}) : { revision, hosts };
      },
      'GET /control/counters': () => ({ reads }),
      'POST /control/hosts': (body) => setHosts(body),
      'POST /control/faults': (body) => setFaults(body),
    },
    listen,
  );
  return {
    port: server.port,
    setHosts,
    setFaults,
    close: async () => {
      timers.forEach((timer) => timer.close());
      await server.close();
    },
  };
}
