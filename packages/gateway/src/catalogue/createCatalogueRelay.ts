import type { Clock, Timer } from '@bergamotcove/clock';
import { toError } from '@bergamotcove/errors';
import type { Logger } from '@bergamotcove/log';
import type { LinkClient, LinkMethod, Target } from '@bergamotcove/transport';
import type { HostEntry } from '../hosts/createHostRegistry.js';
import matchesShape, { type Shape } from '../hosts/matchesShape.js';
import comparePositions from './comparePositions.js';
import type { CatalogueBatch, CatalogueLog, CatalogueSnapshot } from './createCatalogueLog.js';
import { packMessage, unpackMessage, type PackedMessage } from '../packMessage.js';

/**
 * Whether a relay reaches the store. While it is `returning` from an outage, servers whose entries expired may still
 * register again.
 */
export type RelayState = 'live' | 'returning' | 'lost';

/** State of a relay in its last message, and the monotonic time at which that arrived. */
export interface RelayStatus {
  readonly state: RelayState;
  readonly atMs: number;
}

/** Relays changes of the store between the hosts of a failure domain. */
export interface CatalogueRelay {
  readonly methods: Readonly<Record<string, LinkMethod>>;
  /** Status of the relays by host id, as of their last messages. */
  readonly statuses: ReadonlyMap<string, RelayStatus>;
  /** Whether this host relays to other hosts. */
  readonly isActive: boolean;
  /** Replaces the hosts that this one relays to. */
  review(self: HostEntry, receivers: readonly HostEntry[]): void;
  /** Sends changes to the receivers. */
  push(batch: CatalogueBatch): void;
  /** Sends the current position at once, so that the receivers request what they are missing. */
  announce(): void;
  close(): void;
}

/** Options of {@link createCatalogueRelay}. */
export interface CatalogueRelayOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly links: LinkClient;
  readonly log: CatalogueLog;
  /** Reads whether this host reaches the store. */
  readonly readState: () => RelayState;
  /** Reads the age of this host's news of the store; undefined when nobody needs it. */
  readonly readNewsAgeMs: () => number | undefined;
  /**
   * Called for each message of a relay, with the era of that relay, undefined from hosts of earlier versions, and the age
   * of its news of the store, undefined when it has none.
   */
  readonly onMessage: (era: number | undefined, newsAgeMs: number | undefined) => void;
  /** Called when a relay reports that the store is back from an outage that this host may not have noticed. */
  readonly onReturning: () => void;
}

/** Message with changes, or with none as a heartbeat. */
interface Push {
  readonly hostId: string;
  /** Address of the relay, for requests for missing changes. */
  readonly target: Target;
  readonly state: RelayState;
  /** Era of the revision up to which the batch is complete; undefined from hosts of earlier versions. */
  readonly era?: number;
  /** Age of the relay's news of the store; undefined from hosts of earlier versions, and without cold starts. */
  readonly newsAgeMs?: number;
  readonly toRevision: number;
  readonly batch: PackedMessage;
}

/** Request for what has changed after a position. */
interface ReadRequest {
  readonly afterRevision: number;
  /** Undefined from hosts of earlier versions. */
  readonly afterEra?: number;
}

const MISSING_CHANGES: Shape = {
  'era?': 'number',
  fromRevision: 'number',
  toRevision: 'number',
  changes: [{ key: 'string', 'value?': 'string', revision: 'number' }],
};
const SNAPSHOT: Shape = {
  'era?': 'number',
  revision: 'number',
  entries: [{ key: 'string', value: 'string', revision: 'number' }],
};

const PUSH = 'catalogue.push';
const READ = 'catalogue.read';
/** Interval of heartbeats while nothing changes. */
const HEARTBEAT_MS = 1_000;

class Relay implements CatalogueRelay {
  readonly methods: Readonly<Record<string, LinkMethod>>;

  readonly statuses = new Map<string, RelayStatus>();

  private self: HostEntry | undefined;

  private receivers: readonly HostEntry[] = [];

  /** Hosts that have not yet confirmed the last message. */
  private readonly unconfirmed = new Set<string>();

  private timer: Timer | undefined;

  private isReading = false;

  /** Last snapshot that was sent; it is reused until the position of the log changes. */
  private packedSnapshot: { readonly position: string; readonly message: PackedMessage } | undefined;

  constructor(private readonly options: CatalogueRelayOptions) {
    this.methods = {
      [PUSH]: (params) => this.handlePush(params as Push),
      [READ]: (params) => this.handleRead(params as ReadRequest),
    };
  }

  get isActive(): boolean {
    return this.receivers.length > 0;
  }

  review(self: HostEntry, receivers: readonly HostEntry[]): void {
    this.self = self;
    const known = new Set(this.receivers.map(({ startId, hostId }) => `${hostId}/${startId}`));
    const added = receivers.filter(({ startId, hostId }) => !known.has(`${hostId}/${startId}`));
    this.receivers = receivers;
    if (receivers.length === 0) {
      this.timer?.close();
      this.timer = undefined;
    } else if (this.timer === undefined) {
      this.scheduleHeartbeat();
    }
    if (added.length > 0) {
      this.send(this.createHeartbeat(), added);
    }
  }

  push(batch: CatalogueBatch): void {
    if (this.isActive && batch.changes.length > 0) {
      this.send(batch, this.receivers);
      this.scheduleHeartbeat();
    }
  }

  announce(): void {
    if (this.isActive) {
      this.send(this.createHeartbeat(), this.receivers);
      this.scheduleHeartbeat();
    }
  }

  close(): void {
    this.receivers = [];
    this.timer?.close();
  }

  private scheduleHeartbeat(): void {
    this.timer?.close();
    this.timer = this.options.clock.schedule(HEARTBEAT_MS, () => {
      this.scheduleHeartbeat();
      this.send(
        this.createHeartbeat(),
        this.receivers.filter(({ hostId }) => !this.unconfirmed.has(hostId)),
      );
    });
  }

  private createHeartbeat(): CatalogueBatch {
    const { era, revision } = this.options.log.position;
    return { era, fromRevision: revision, toRevision: revision, changes: [] };
  }

  /** Returns the changes after a position, or a snapshot. All hosts ask for a snapshot when an era begins. */
  private handleRead({ afterRevision, afterEra }: ReadRequest): PackedMessage {
    const { log } = this.options;
    const { era, revision } = log.position;
    const missing = log.since({ era: afterEra ?? era, revision: afterRevision });
    if ('changes' in missing) {
      return packMessage(missing);
    }
    const position = `${era} ${revision}`;
    if (this.packedSnapshot?.position !== position) {
      this.packedSnapshot = { position, message: packMessage(missing) };
    }
    return this.packedSnapshot.message;
  }

  private send(batch: CatalogueBatch, receivers: readonly HostEntry[]): void {
    const { links, readState, readNewsAgeMs } = this.options;
    const { self } = this;
    if (self === undefined) {
      return;
    }
    const newsAgeMs = readNewsAgeMs();
    const message: Push = {
      hostId: self.hostId,
      target: self.target,
      state: readState(),
      ...(batch.era === undefined ? {} : { era: batch.era }),
      ...(newsAgeMs === undefined ? {} : { newsAgeMs }),
      toRevision: batch.toRevision,
      batch: packMessage(batch),
    };
    receivers.forEach(({ hostId, target }) => {
      this.unconfirmed.add(hostId);
      links
        .call(target, PUSH, message)
        // A host that misses a message detects the gap with the next one, or treats its relay as lost.
        .catch(() => undefined)
        .finally(() => this.unconfirmed.delete(hostId));
    });
  }

  private handlePush({ hostId, target, state, era, newsAgeMs, toRevision, batch }: Push): boolean {
    const { clock, log, onMessage, onReturning } = this.options;
    if (state === 'returning' && this.statuses.get(hostId)?.state !== 'returning') {
      onReturning();
    }
    this.statuses.set(hostId, { state, atMs: clock.monotonicMs() });
    // Most messages were received from another relay before.
    const position = { era: era ?? log.position.era, revision: toRevision };
    const isKnown = log.isFilled && comparePositions(position, log.position) <= 0;
    const isComplete = isKnown || log.apply(unpackMessage(batch) as CatalogueBatch);
    onMessage(era, newsAgeMs ?? (state === 'lost' ? undefined : 0));
    if (!isComplete) {
      this.requestMissing(hostId, target);
    }
    return true;
  }

  /** Requests the missing changes from a relay. */
  private requestMissing(relay: string, target: Target): void {
    const { links, log, logger } = this.options;
    if (this.isReading) {
      return;
    }
    this.isReading = true;
    const { era, revision } = log.position;
    logger.event('catalogueBehind', { relay, era, revision });
    const request: ReadRequest = { afterRevision: revision, afterEra: era };
    links
      .call(target, READ, request)
      .then((answer) => {
        const missing = unpackMessage(answer as PackedMessage);
        if (matchesShape(missing, SNAPSHOT)) {
          log.replace(missing as CatalogueSnapshot);
        } else if (matchesShape(missing, MISSING_CHANGES)) {
          log.apply(missing as CatalogueBatch);
        } else {
          throw new Error('the answer to catalogue.read has missing or wrong fields');
        }
      })
      .catch((cause: unknown) => {
        // The next message of a relay reveals the gap again.
        logger.event('peerMessageInvalid', { peer: relay, error: toError(cause).message });
      })
      .finally(() => {
        this.isReading = false;
      });
  }
}

/**
 * Creates the relay of a host. It sends changes to the receivers that it is given, and applies those of other relays.
 *
 * @param options - links to other hosts, and the log of this host
 * @returns the relay; close it to stop its heartbeats
 */
export default function createCatalogueRelay(options: CatalogueRelayOptions): CatalogueRelay {
  return new Relay(options);
}
