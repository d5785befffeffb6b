import type { EraTracker, StoreClient } from '@bergamotcove/backends';
import type { Route } from '@bergamotcove/config';
import type { Clock, Timer } from '@bergamotcove/clock';
import {
  isSameOrigin,
  planAgreement,
  type AgreedOrigins,
  type StreamOrigin,
  type UnservedSinceMs,
} from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';
import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import type { RouteTableHolder } from '../catalogue/createRouteTableHolder.js';
import type { HostRegistry } from '../hosts/createHostRegistry.js';
import type { CatalogueFormat } from '../ports.js';
import { formatAgreed, formatStreamKey, parseAgreed, parseOrigin } from './originTexts.js';
import createOriginWriter, { type OriginWriter } from './createOriginWriter.js';

/** Where a stream that a caller takes up began. */
export type FoundOrigin =
  | { readonly type: 'known'; readonly origin: StreamOrigin; readonly source: 'host' | 'record' | 'agreed' }
  | { readonly type: 'unknown'; readonly reason: 'no-id' | 'store' | 'not-agreed' | 'new-era' };

/** Keeps where streams began, so that every host can go on with them at servers of the same version. */
export interface StreamOrigins {
  /** Agreed origin of a route as this host knows it. */
  agreedFor(route: string): StreamOrigin | undefined;
  /** Agreed origins as they stand in the store, for other hosts; undefined until they are known. */
  readonly agreedText: string | undefined;
  /** Whether origins can be recorded now; if not, streams should begin at the agreed origin. */
  readonly isWritable: boolean;
  /** Records the origin of a stream; resolves to whether every host can find it. */
  record(requestId: string, origin: StreamOrigin): Promise<boolean>;
  /** Remembers the origin of a stream that this host begins or takes up. */
  noteBegun(requestId: string, origin: StreamOrigin): void;
  /** Finds where a stream began by the id of a request that began it or took it up. */
  find(route: Route, requestId: string | undefined): Promise<FoundOrigin>;
  /** Applies the agreed origins as they stand in the store. */
  putAgreed(text: string): void;
  start(hosts: HostRegistry): void;
  /** Drops the agreed origins of routes whose streams may no longer be resumed, after a change of the routes. */
  noteRoutes(): void;
  close(): void;
}

/** Options of {@link createStreamOrigins}. */
export interface StreamOriginsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ScrapedMetrics;
  readonly store: Pick<StoreClient, 'get' | 'range' | 'txn' | 'grantLease'>;
  readonly eras: EraTracker;
  readonly directory: Pick<BackendDirectory, 'list' | 'storeLost'>;
  readonly tables: RouteTableHolder;
  readonly format: CatalogueFormat;
}

/** Name by which the hosts of a region are ranked to choose the one that updates the agreed origins. */
const AGREEMENT_DUTY = 'stream-origins';
const REVIEW_MS = 1_000;
/** Time between two looks at whether the store still holds the agreed origins; a restored one may lack them. */
const STORED_CHECK_MS = 5_000;
/** A host whose reviews are further apart was paused, and may have missed servers. */
const MAX_REVIEW_GAP_MS = 3_000;
/** Callers take a stream up within the deadline of their first request, which may exceed the timeout of a route. */
const LIFE_TIMEOUTS = 2;
const LIFE_SLACK_MS = 10_000;
/** Records are kept for twice the life of a stream, under leases of at most ten minutes. */
const MAX_LIFE_MS = 300_000;
const MAX_REMEMBERED = 20_000;
/** A caller that takes a stream up is refused after this time without an answer of the store. */
const READ_LIMIT_MS = 500;

/** A stream that this host has begun. */
interface BegunStream {
  readonly origin: StreamOrigin;
  readonly endsAtMs: number;
}

export const isResumable = ({ kind, resumable }: Pick<Route, 'kind' | 'resumable'>): boolean =>
  kind === 'stream' && resumable;

class Origins implements StreamOrigins {
  agreedText: string | undefined;

  private readonly writer: OriginWriter;

  private readonly begun = new Map<string, BegunStream>();

  /** Undefined until the agreed origins are known from the store. */
  private agreed: AgreedOrigins | undefined;

  private unservedSinceMs: UnservedSinceMs = new Map();

  /** Until this time a missing record does not show where a stream began: a restored store has lost some. */
  private incompleteUntilMs = -Infinity;

  private timer: Timer | undefined;

  private isReviewing = false;

  /** Lives of the streams that may still be alive; longer ones under earlier route tables come first. */
  private lives: readonly { readonly lifeMs: number; readonly untilMs: number }[] = [];

  private reviewedAtMs = -Infinity;

  private storedCheckAtMs = -Infinity;

  private hosts: HostRegistry | undefined;

  constructor(private readonly options: StreamOriginsOptions) {
    const { clock, eras, format } = options;
    this.writer = createOriginWriter({
      ...options,
      prefix: format.streamPrefix,
      streamLifeMs: () => this.noteStreamLifeMs(),
    });
    eras.onEvent(({ type }) => {
      if (type === 'advanced') {
        this.incompleteUntilMs = clock.monotonicMs() + this.noteStreamLifeMs();
      }
    });
  }

  get isWritable(): boolean {
    return this.writer.isWritable;
  }

  agreedFor(route: string): StreamOrigin | undefined {
    return this.agreed?.get(route);
  }

  record(requestId: string, origin: StreamOrigin): Promise<boolean> {
    return this.writer.write(requestId, origin);
  }

  noteBegun(requestId: string, origin: StreamOrigin): void {
    const nowMs = this.options.clock.monotonicMs();
    this.begun.set(requestId, { origin, endsAtMs: nowMs + this.noteStreamLifeMs() });
    // Entries are in the order of their ends.
    [...this.begun.keys()].slice(0, Math.max(0, this.begun.size - MAX_REMEMBERED)).forEach((id) => {
      this.begun.delete(id);
    });
    const [oldest] = this.begun;
    if (oldest !== undefined && oldest[1].endsAtMs < nowMs) {
      this.begun.delete(oldest[0]);
    }
  }

  async find(route: Route, requestId: string | undefined): Promise<FoundOrigin> {
    const found = requestId === undefined ? this.findWithoutId(route) : await this.readWithin(route.name, requestId);
    const result = found.type === 'known' ? found.source : found.reason;
    this.options.metrics.report('streams.taken_up', 1, { result });
    return found;
  }

  putAgreed(text: string): void {
    const agreed = parseAgreed(text);
    if (agreed === undefined) {
      this.options.logger.event('streamOriginsUnreadable', {});
      return;
    }
    agreed.forEach((origin, route) => {
      const before = this.agreed?.get(route);
      if (!isSameOrigin(origin, before)) {
        this.options.logger.event('streamOriginAgreed', { route, ...origin, before: before?.softwareVersion });
      }
    });
    this.agreed = agreed;
    this.agreedText = text;
  }

  start(hosts: HostRegistry): void {
    this.hosts = hosts;
    this.timer = this.options.clock.schedule(REVIEW_MS, () => {
      this.start(hosts);
      this.reviewAsOwner();
    });
  }

  noteRoutes(): void {
    // Streams of such a route begin anywhere from now on; the other changes can wait for the next review.
    if (this.listStreamRoutes().some((route) => !isResumable(route) && this.agreedFor(route.name)?.pool !== '')) {
      this.reviewAsOwner();
    }
  }

  close(): void {
    this.timer?.close();
    this.writer.close();
  }

  /** Without the id of its first request, a stream can go on only where all streams of its route begin. */
  private findWithoutId({ name, pools }: Route): FoundOrigin {
    const agreed = this.agreedFor(name);
    const listed = pools.flatMap(({ pool }) => this.options.directory.list(pool));
    const origins = [...listed, ...(agreed === undefined ? [] : [agreed])];
    const [origin] = origins;
    return origin !== undefined && origins.every((each) => isSameOrigin(each, origin))
      ? { type: 'known', origin: { pool: origin.pool, softwareVersion: origin.softwareVersion }, source: 'agreed' }
      : { type: 'unknown', reason: 'no-id' };
  }

  private readWithin(route: string, requestId: string): Promise<FoundOrigin> {
    const begun = this.begun.get(requestId);
    if (begun !== undefined) {
      return Promise.resolve({ type: 'known', origin: begun.origin, source: 'host' });
    }
    return new Promise((resolve) => {
      const timer = this.options.clock.schedule(READ_LIMIT_MS, () => resolve({ type: 'unknown', reason: 'store' }));
      this.read(route, requestId)
        .then(resolve, () => resolve({ type: 'unknown', reason: 'store' }))
        .finally(() => timer.close());
    });
  }

  private async read(route: string, requestId: string): Promise<FoundOrigin> {
    const { store, format, clock } = this.options;
    const record = await store.get(formatStreamKey(format.streamPrefix, requestId));
    if (record !== undefined) {
      const origin = parseOrigin(record.value);
      return origin === undefined
        ? { type: 'unknown', reason: 'not-agreed' }
        : { type: 'known', origin, source: 'record' };
    }
    if (clock.monotonicMs() < this.incompleteUntilMs) {
      return { type: 'unknown', reason: 'new-era' };
    }
    const stored = await store.get(format.agreedOriginsKey);
    const agreed = parseAgreed(stored?.value ?? '')?.get(route);
    // An empty pool: streams of the route that could not be resumed yet may be alive.
    return agreed === undefined || agreed.pool === ''
      ? { type: 'unknown', reason: 'not-agreed' }
      : { type: 'known', origin: agreed, source: 'agreed' };
  }

  private reviewAsOwner(): void {
    const { hosts } = this;
    // Any host may become the owner, and must know the longer timeouts of before then.
    this.noteStreamLifeMs();
    const isOwner = hosts?.rankOwners(AGREEMENT_DUTY)[0]?.hostId === hosts?.self.hostId;
    if (isOwner && !this.isReviewing) {
      this.isReviewing = true;
      this.review()
        .catch(() => undefined)
        .finally(() => {
          this.isReviewing = false;
        });
    } else if (!isOwner) {
      this.unservedSinceMs = new Map();
    }
  }

  private listStreamRoutes(): readonly Route[] {
    const routes = this.options.tables.current()?.table.routes ?? [];
    return routes.filter(({ kind }) => kind === 'stream');
  }

  /** Records the life of streams under the present route table; returns the longest life of streams that may be alive. */
  private noteStreamLifeMs(): number {
    const longestMs = Math.max(0, ...this.listStreamRoutes().map(({ timeoutMs }) => timeoutMs));
    const nowMs = this.options.clock.monotonicMs();
    const lifeMs = Math.min(MAX_LIFE_MS, LIFE_TIMEOUTS * longestMs + LIFE_SLACK_MS);
    const longer = this.lives.filter((life) => life.lifeMs > lifeMs && life.untilMs > nowMs);
    this.lives = [...longer, { lifeMs, untilMs: nowMs + lifeMs }];
    return this.lives[0]?.lifeMs ?? lifeMs;
  }

  private plan(agreed: AgreedOrigins, versionsOf: (pool: string) => readonly string[]) {
    const routes = this.listStreamRoutes();
    return planAgreement({
      agreed,
      routes: routes.filter(isResumable).map(({ name, pools }) => ({ name, pools: pools.map(({ pool }) => pool) })),
      unresumableRoutes: routes.filter((route) => !isResumable(route)).map(({ name }) => name),
      versionsOf,
      unservedSinceMs: this.unservedSinceMs,
      streamLifeMs: this.noteStreamLifeMs(),
      nowMs: this.options.clock.monotonicMs(),
    });
  }

  /** Updates the agreed origins when a route has none, or when no server serves the agreed one any more. */
  private async review(): Promise<void> {
    const { directory, store, format, tables } = this.options;
    if (tables.current() === undefined) {
      return;
    }
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - this.reviewedAtMs > MAX_REVIEW_GAP_MS || directory.storeLost) {
      this.unservedSinceMs = new Map();
    }
    this.reviewedAtMs = nowMs;
    const known = this.agreed ?? new Map();
    const expected = this.plan(known, (pool) => directory.list(pool).map(({ softwareVersion }) => softwareVersion));
    this.unservedSinceMs = expected.unservedSinceMs;
    const isUnchanged = expected.agreed === known;
    if (isUnchanged && (known.size === 0 || nowMs - this.storedCheckAtMs < STORED_CHECK_MS)) {
      return;
    }
    // The list of this host may be old: the decision is made on entries that are read now.
    const stored = await store.get(format.agreedOriginsKey);
    this.storedCheckAtMs = nowMs;
    if (isUnchanged && stored !== undefined) {
      return;
    }
    const agreed = stored === undefined ? known : parseAgreed(stored.value);
    const versions = await this.readVersions();
    const next = this.plan(agreed ?? new Map(), (pool) => versions.get(pool) ?? []).agreed;
    if (next === agreed && (stored !== undefined || next.size === 0)) {
      this.putAgreed(stored?.value ?? formatAgreed(next));
      return;
    }
    const value = formatAgreed(next);
    const revision = stored?.modRevision ?? '0';
    const { succeeded } = await store.txn(
      [{ type: 'mod-revision', key: format.agreedOriginsKey, revision }],
      [{ type: 'put', key: format.agreedOriginsKey, value }],
    );
    if (succeeded) {
      this.putAgreed(value);
    }
  }

  /** Reads the versions of the servers that are listed in the store, one for each server, by pool. */
  private async readVersions(): Promise<ReadonlyMap<string, readonly string[]>> {
    const { store, format } = this.options;
    const { entries } = await store.range(format.serverPrefix);
    const versions = new Map<string, string[]>();
    entries.forEach(({ key, value }) => {
      const server = format.readServer(key.slice(format.serverPrefix.length), value);
      if (server !== undefined) {
        versions.set(server.pool, [...(versions.get(server.pool) ?? []), server.softwareVersion]);
      }
    });
    return versions;
  }
}

/**
 * Creates the keeper of stream origins. The store holds one agreed origin for each route, and a record for each stream
 * that began elsewhere; hosts keep nothing that another host needs.
 *
 * @param options - store, servers and routes
 * @returns the origins; close them to stop their timers
 */
export default function createStreamOrigins(options: StreamOriginsOptions): StreamOrigins {
  return new Origins(options);
}
