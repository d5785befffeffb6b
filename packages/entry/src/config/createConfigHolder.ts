import type { Subscription } from 'rxjs';
import type { Clock, Timer } from '@bergamotcove/clock';
import { HEADS_PREFIX, parseAcceptedDocument, type AcceptedDocument } from '@bergamotcove/config';
import type { Logger } from '@bergamotcove/log';
import type { StoreClient, StoreEntry } from '@bergamotcove/platform';

/** Options of {@link createConfigHolder}. */
export interface ConfigHolderOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: StoreClient;
}

/** Service documents in force on this host. */
export interface ConfigHolder {
  get(service: string): AcceptedDocument | undefined;
  list(): readonly AcceptedDocument[];
  /** Resolves after the documents were read once. */
  start(): Promise<void>;
  close(): void;
}

const RESYNC_DELAY_MS = 500;

class StoreConfigHolder implements ConfigHolder {
  private readonly documents = new Map<string, AcceptedDocument>();

  private subscription: Subscription | undefined;

  private timer: Timer | undefined;

  private closed = false;

  constructor(private readonly options: ConfigHolderOptions) {}

  get(service: string): AcceptedDocument | undefined {
    return this.documents.get(service);
  }

  list(): readonly AcceptedDocument[] {
    return [...this.documents.values()];
  }

  async start(): Promise<void> {
    try {
      await this.follow();
    } catch (cause) {
      this.options.logger.event('storeUnavailable', { error: String(cause) });
      this.resync();
    }
  }

  close(): void {
    this.closed = true;
    this.subscription?.unsubscribe();
    this.timer?.close();
  }

  private async follow(): Promise<void> {
    const { entries, revision } = await this.options.store.range(HEADS_PREFIX);
    entries.forEach((entry) => this.apply(entry));
    const next = String(BigInt(revision) + 1n);
    this.subscription = this.options.store.watch(HEADS_PREFIX, next).subscribe({
      next: (event) => {
        if (event.type === 'put') {
          this.apply(event.entry);
        }
      },
      error: () => this.resync(),
    });
  }

  private resync(): void {
    if (this.closed) {
      return;
    }
    this.timer = this.options.clock.schedule(RESYNC_DELAY_MS, () => {
      this.follow().catch(() => this.resync());
    });
  }

  private apply(entry: StoreEntry): void {
    const { logger } = this.options;
    try {
      const accepted = parseAcceptedDocument(entry.value, { source: entry.key });
      const { service } = accepted.document;
      const inForce = this.documents.get(service)?.version ?? 0;
      if (accepted.version < inForce) {
        logger.event('configRegressed', { service, inForce, offered: accepted.version });
      } else if (accepted.version > inForce) {
        this.documents.set(service, accepted);
        logger.event('configApplied', { service, version: accepted.version });
      }
    } catch (cause) {
      logger.event('configInvalid', { key: entry.key, error: String(cause) });
    }
  }
}

/**
 * Follows the service documents in the store and keeps the highest version of each in force.
 *
 * @param options - store, clock and logger
 * @returns the holder
 */
export default function createConfigHolder(options: ConfigHolderOptions): ConfigHolder {
  return new StoreConfigHolder(options);
}
