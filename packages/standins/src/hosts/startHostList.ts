import { createHash } from 'node:crypto';
import { z } from 'zod';
import type { Clock, Timer } from '@bergamotcove/clock';
import { sendJson, type HttpExchange } from '@bergamotcove/transport';
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
  /** Delay until a change of the list becomes visible. */
  lagMs: z.number().min(0).default(0),
  /** Whether reads get status 503. */
  down: z.boolean().default(false),
});

/** A host of the list. */
export type StandinHost = z.input<typeof hostSchema>;

/** Faults of the host list as the control endpoint accepts them. */
export type HostListFaults = z.input<typeof faultsSchema>;

/** A running stand-in of the host list. */
export interface HostListStandin extends Standin {
  setHosts(hosts: readonly StandinHost[]): void;
  setFaults(faults: HostListFaults): void;
}

const STATUS_OK = 200;
const STATUS_NOT_MODIFIED = 304;
const STATUS_UNAVAILABLE = 503;

/** Hashes the content to an ETag, so that a restarted list with other hosts has another ETag at the same revision. */
const computeEtag = (content: unknown): string => {
  const digest = createHash('sha256').update(JSON.stringify(content)).digest('base64url');
  return `"${digest}"`;
};

/** Hosts, faults and counters of the list. */
class ListState {
  private etag: string;

  private faults = faultsSchema.parse({});

  private reads = 0;

  private unchanged = 0;

  private readonly timers = new Set<Timer>();

  constructor(
    private hosts: readonly z.output<typeof hostSchema>[],
    private readonly clock: Clock | undefined,
    private revision: number,
  ) {
    this.etag = computeEtag({ revision: this.revision, hosts });
  }

  setHosts(replacement: unknown): object {
    const parsed = z.array(hostSchema).parse(replacement);
    const publish = (): void => {
      this.hosts = parsed;
      this.revision += 1;
      this.etag = computeEtag({ revision: this.revision, hosts: parsed });
    };
    if (this.faults.lagMs === 0 || this.clock === undefined) {
      publish();
    } else {
      this.timers.add(this.clock.schedule(this.faults.lagMs, publish));
    }
    return { revision: this.revision };
  }

  setFaults(input: unknown): object {
    this.faults = faultsSchema.parse(input);
    return {};
  }

  counters(): object {
    return { reads: this.reads, unchanged: this.unchanged };
  }

  answerRead({ request, response }: HttpExchange): StatusReply | undefined {
    const { etag, faults, hosts, revision } = this;
    this.reads += 1;
    if (faults.down) {
      return new StatusReply(STATUS_UNAVAILABLE, {});
    }
    if (request.headers['if-none-match'] === etag) {
      this.unchanged += 1;
      response.writeHead(STATUS_NOT_MODIFIED, { etag }).end();
    } else {
      sendJson(response, STATUS_OK, { revision, hosts }, { etag });
    }
    return undefined;
  }

  close(): void {
    this.timers.forEach((timer) => timer.close());
  }
}

/**
 * Starts a stand-in of the platform's host list. `GET /v1/hosts` supports conditional requests. `POST /control/hosts`
 * replaces the list, `POST /control/faults` sets its lag or makes it unavailable, `GET /control/counters` returns the
 * number of reads and how many of them got status 304.
 *
 * @param listen - address and port
 * @param options - initial hosts; clock, without which `lagMs` has no effect; first revision, 1 by default
 * @returns the running stand-in
 */
export default async function startHostList(
  listen: ListenOptions,
  options: { readonly hosts: readonly StandinHost[]; readonly clock?: Clock; readonly revision?: number },
): Promise<HostListStandin> {
  const hosts = options.hosts.map((host) => hostSchema.parse(host));
  const state = new ListState(hosts, options.clock, options.revision ?? 1);
  const server = await serveJson(
    {
      'GET /v1/hosts': (_body, exchange) => state.answerRead(exchange),
      'GET /control/counters': () => state.counters(),
      'POST /control/hosts': (body) => state.setHosts(body),
      'POST /control/faults': (body) => state.setFaults(body),
    },
    listen,
  );
  return {
    port: server.port,
    setHosts: (replacement) => state.setHosts(replacement),
    setFaults: (faults) => state.setFaults(faults),
    close: async () => {
      state.close();
      await server.close();
    },
  };
}
