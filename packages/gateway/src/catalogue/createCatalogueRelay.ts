import type { Clock, Timer } from '@bergamotcove/clock';
import { toError } from '@bergamotcove/errors';
import type { Logger } from '@bergamotcove/log';
import type { LinkClient, LinkMethod, Target } from '@bergamotcove/transport';
import type { HostEntry } from '../hosts/createHostRegistry.js';
import comparePositions from './comparePositions.js';
import type { CatalogueBatch, CatalogueLog, CatalogueSnapshot } from './createCatalogueLog.js';
import { packMessage, unpackMessage, type PackedMessage } from '../packMessage.js';

/** Whether a relay reaches the store; entries that lapsed in an outage may still come back while it is returning. */
export type RelayState = 'live' | 'returning' | 'lost';

/** What was last heard of a relay. */
export interface RelaySighting {
  readonly state: RelayState;
  readonly atMs: number;
}

/** Passes changes of the store on between the hosts of a failure domain. */
export interface CatalogueRelay {
  readonly methods: Readonly<Record<string, LinkMethod>>;
  /** Relays by host, as they were last heard. */
  readonly sightings: ReadonlyMap<string, RelaySighting>;
  /** Whether this host relays to others. */
  readonly isActive: boolean;
  /** Replaces the hosts that this one relays to. */
  review(self: HostEntry, receivers: readonly HostEntry[]): void;
  /** Passes changes on. */
  push(batch: CatalogueBatch): void;
  /** Tells at once what this host knows, because the others have to read it. */
  announce(): void;
  close(): void;
}

/** Options of {@link createCatalogueRelay}. */
export interface CatalogueRelayOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly links: LinkClient;
  readonly log: CatalogueLog;
  /** Whether this host reaches the store. */
  readonly readState: () => RelayState;
  /** A relay was heard, with the era that it knows. */
  readonly onHeard: (era: number | undefined) => void;
  /** The store of a relay has returned from an outage that this host did not notice. */
  readonly onReturning: () => void;
}

/** Changes, or none as a sign of life. */
interface Push {
  readonly hostId: string;
  /** Where what is missing can be asked for. */
  readonly target: Target;
  readonly state: RelayState;
  /** Position up to which the batch tells everything; hosts of earlier versions tell no era. */
  readonly era?: number;
  readonly toRevision: number;
  readonly batch: PackedMessage;
}

interface Inquiry {
  readonly afterRevision: number;
  /** Undefined from hosts of earlier versions. */
  readonly afterEra?: number;
}

const PUSH = 'catalogue.push';
const READ = 'catalogue.read';
/** Interval of signs of life while nothing changes. */
const HEARTBEAT_MS = 1_000;

class Relay implements CatalogueRelay {
  readonly methods: Readonly<Record<string, LinkMethod>>;

  readonly sightings = new Map<string, RelaySighting>();

  private self: HostEntry | undefined;

  private receivers: readonly HostEntry[] = [];

  /** Hosts that have not confirmed the last message. */
  private readonly unconfirmed = new Set<string>();

  private timer: Timer | undefined;

  private isReading = false;

  /** The last answer with everything. */
  private packed: { readonly position: string; readonly message: PackedMessage } | undefined;

  constructor(private readonly options: CatalogueRelayOptions) {
    this.methods = {
      [PUSH]: (params) => this.receive(params as Push),
      [READ]: (params) => this.answer(params as Inquiry),
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
      this.beat();
    }
    if (added.length > 0) {
      this.send(this.describe(), added);
    }
  }

  push(batch: CatalogueBatch): void {
    if (this.isActive && batch.changes.length > 0) {
      this.send(batch, this.receivers);
      this.beat();
    }
  }

  announce(): void {
    if (this.isActive) {
      this.send(this.describe(), this.receivers);
      this.beat();
    }
  }

  close(): void {
    this.receivers = [];
    this.timer?.close();
  }

  private beat(): void {
    this.timer?.close();
    this.timer = this.options.clock.schedule(HEARTBEAT_MS, () => {
      this.beat();
      this.send(
        this.describe(),
        this.receivers.filter(({ hostId }) => !this.unconfirmed.has(hostId)),
      );
    });
  }

  private describe(): CatalogueBatch {
    const { era, revision } = this.options.log.position;
    return { era, fromRevision: revision, toRevision: revision, changes: [] };
  }

  /** Tells what has changed, or everything; all hosts ask for everything when an era begins. */
  private answer({ afterRevision, afterEra }: Inquiry): PackedMessage {
    const { log } = this.options;
    const { era, revision } = log.position;
    const missing = log.since({ era: afterEra ?? era, revision: afterRevision });
    if ('changes' in missing) {
      return packMessage(missing);
    }
    const position = `${era} ${revision}`;
    if (this.packed?.position !== position) {
      this.packed = { position, message: packMessage(missing) };
    }
    return this.packed.message;
  }

  private send(batch: CatalogueBatch, receivers: readonly HostEntry[]): void {
    const { links, readState } = this.options;
    const { self } = this;
    if (self === undefined) {
      return;
    }
    const message: Push = {
      hostId: self.hostId,
      target: self.target,
      state: readState(),
      ...(batch.era === undefined ? {} : { era: batch.era }),
      toRevision: batch.toRevision,
      batch: packMessage(batch),
    };
    receivers.forEach(({ hostId, target }) => {
      this.unconfirmed.add(hostId);
      links
        .call(target, PUSH, message)
        // A host that misses a message finds the gap with the next one, or loses its relay.
        .catch(() => undefined)
        .finally(() => this.unconfirmed.delete(hostId));
    });
  }

  private receive({ hostId, target, state, era, toRevision, batch }: Push): boolean {
    const { clock, log, onHeard, onReturning } = this.options;
    if (state === 'returning' && this.sightings.get(hostId)?.state !== 'returning') {
      onReturning();
    }
    this.sightings.set(hostId, { state, atMs: clock.monotonicMs() });
    // The other relay has told most of it before.
    const position = { era: era ?? log.position.era, revision: toRevision };
    const isKnown = log.isFilled && comparePositions(position, log.position) <= 0;
    const isComplete = isKnown || log.apply(unpackMessage(batch) as CatalogueBatch);
    onHeard(era);
    if (!isComplete) {
      this.read(hostId, target);
    }
    return true;
  }

  /** Asks a relay for what this host has missed. */
  private read(relay: string, target: Target): void {
    const { links, log, logger } = this.options;
    if (this.isReading) {
      return;
    }
    this.isReading = true;
    const { era, revision } = log.position;
    logger.event('catalogueBehind', { relay, era, revision });
    const inquiry: Inquiry = { afterRevision: revision, afterEra: era };
    links
      .call(target, READ, inquiry)
      .then((answer) => {
        const missing = unpackMessage(answer as PackedMessage) as CatalogueBatch | CatalogueSnapshot;
        if ('entries' in missing) {
          log.replace(missing);
        } else {
          log.apply(missing);
        }
      })
      .catch((cause: unknown) => {
        // The next message of a relay shows the gap again.
        logger.event('peerMessageInvalid', { peer: relay, error: toError(cause).message });
      })
      .finally(() => {
        this.isReading = false;
      });
  }
}

/**
 * Creates the relay of a host: it passes changes on to others when it is told to, and takes what other relays pass on.
 *
 * @param options - links, and the log of this host
 * @returns the relay; close it to stop its signs of life
 */
export default function createCatalogueRelay(options: CatalogueRelayOptions): CatalogueRelay {
  return new Relay(options);
}
