import type { ManualClock } from '@bergamotcove/clock';
import { TransportError } from '@bergamotcove/transport';
import {
  createHostRegistry,
  createRateLimits,
  type HostEntry,
  type HostRegistry,
  type RateLimits,
} from '@bergamotcove/gateway';
import type { LimitModel } from './types.js';

/** A modelled host. */
export interface ModelHost {
  readonly region: string;
  /** Undefined while the host is down. */
  limits: RateLimits | undefined;
  hosts: HostRegistry | undefined;
  /** Number of messages about limits that it has got. */
  messages: number;
}

/** The hosts of a model. */
export interface ModelHosts {
  readonly all: readonly ModelHost[];
  /** Ends the process of a host, which starts again after a time without what it knew. */
  restart(index: number, downMs: number): void;
  /** Index of the host that hands out the sends of a server. */
  findOwner(serverId: string): number;
}

/** A modelled server. */
export interface ModelServer {
  readonly serverId: string;
  readonly region: string;
}

const POOL = 'pool';
const DUTY = 'schedule';
const PORT = 7_000;
const HOP_MS = 1;
const REGION_HOP_MS = 13;
/** Time until a call to a host that is down fails. */
const CONNECT_LIMIT_MS = 300;
/** Time until all hosts know that a host has started. */
const LIST_DELAY_MS = 500;

const nameHost = (index: number): string => `h${index}`;

class Hosts implements ModelHosts {
  readonly all: readonly ModelHost[];

  private readonly entries = new Map<number, HostEntry>();

  private starts = 0;

  constructor(
    model: LimitModel,
    private readonly servers: ReadonlyMap<string, ModelServer>,
    private readonly clock: ManualClock,
  ) {
    this.all = Array.from({ length: model.hosts }, (_, index) => ({
      region: `r${index % model.regions}`,
      limits: undefined,
      hosts: undefined,
      messages: 0,
    }));
    this.all.forEach((_, index) => this.list(index));
    this.all.forEach((_, index) => this.start(index));
  }

  restart(index: number, downMs: number): void {
    const host = this.all[index] as ModelHost;
    host.limits?.close();
    host.limits = undefined;
    host.hosts = undefined;
    this.clock.schedule(downMs, () => {
      this.list(index);
      this.start(index);
      const entry = this.entries.get(index) as HostEntry;
      const record = { key: entry.hostId, text: JSON.stringify(entry) };
      this.clock.schedule(LIST_DELAY_MS, () => this.all.forEach(({ hosts }) => hosts?.update({ put: [record] })));
    });
  }

  findOwner(serverId: string): number {
    const region = this.servers.get(serverId)?.region;
    const any = this.all.find(({ hosts }) => hosts !== undefined);
    const owner = any?.hosts?.rankOwners(DUTY, region)[0]?.hostId;
    return this.all.findIndex((_, index) => nameHost(index) === owner);
  }

  private list(index: number): void {
    this.starts += 1;
    const { region } = this.all[index] as ModelHost;
    const target = { address: nameHost(index), port: PORT };
    const entry = { hostId: nameHost(index), target, failureDomain: region, region, capacity: 1 };
    this.entries.set(index, { ...entry, startId: String(this.starts) });
  }

  private start(index: number): void {
    const host = this.all[index] as ModelHost;
    const { clock } = this;
    const logger = { event: () => undefined } as unknown as Parameters<typeof createRateLimits>[0]['logger'];
    const hosts = createHostRegistry({
      clock,
      logger,
      store: {} as Parameters<typeof createHostRegistry>[0]['store'],
      eras: { onEvent: () => undefined } as unknown as Parameters<typeof createHostRegistry>[0]['eras'],
      prefix: '',
      self: this.entries.get(index) as HostEntry,
    });
    hosts.replace([...this.entries.values()].map((entry) => ({ key: entry.hostId, text: JSON.stringify(entry) })));
    const limits = createRateLimits({
      clock,
      logger,
      metrics: { report: () => undefined } as unknown as Parameters<typeof createRateLimits>[0]['metrics'],
      links: {
        call: (target, method, params) => this.call(host, target.address, { method, params }),
        notify: () => undefined,
        close: () => undefined,
      },
      directory: {
        find: (serverId) => this.describe(serverId),
        onProcessEnded: () => undefined,
      },
      region: host.region,
      dutyOf: () => DUTY,
    });
    limits.start(hosts);
    host.hosts = hosts;
    host.limits = limits;
  }

  private describe(serverId: string): ReturnType<Parameters<typeof createRateLimits>[0]['directory']['find']> {
    const server = this.servers.get(serverId);
    const common = { pool: POOL, address: '', port: 0, state: 'live', softwareVersion: '', startedAtMs: 1 } as const;
    return server === undefined ? undefined : { ...server, ...common, failureDomain: server.region };
  }

  /** Delivers a call to a host and its answer back; both take the time of the way. */
  private call(
    from: ModelHost,
    address: string,
    call: { readonly method: string; readonly params: object },
  ): Promise<unknown> {
    const to = this.all.find((_, index) => nameHost(index) === address);
    const delayMs = to?.region === from.region ? HOP_MS : REGION_HOP_MS;
    return new Promise((resolve, reject) => {
      this.clock.schedule(delayMs, () => {
        const method = to?.limits?.methods[call.method];
        if (to === undefined || method === undefined) {
          const fail = (): void => reject(new TransportError('not-connected', 'the host is down'));
          this.clock.schedule(CONNECT_LIMIT_MS, fail);
          return;
        }
        to.messages += 1;
        Promise.resolve(method(call.params, { remoteAddress: '', onClose: () => () => undefined }))
          .then((answer) => {
            this.clock.schedule(delayMs, () => resolve(answer));
          })
          .catch(reject);
      });
    });
  }
}

/**
 * Creates the hosts of a model, each with the rate limits and the registry of a gateway.
 *
 * @param model - size of the fleet
 * @param servers - servers by id
 * @param clock - clock of the run
 * @returns the hosts
 */
export default function createModelHosts(
  model: LimitModel,
  servers: ReadonlyMap<string, ModelServer>,
  clock: ManualClock,
): ModelHosts {
  return new Hosts(model, servers, clock);
}
