import type { Logger } from '@bergamotcove/log';
import comparePositions, { type StorePosition } from './comparePositions.js';

/** Evacuated failure domains as of a position of the store; hosts also exchange them in this form. */
export interface EvacuationSnapshot extends StorePosition {
  readonly domains: readonly string[];
}

/** Failure domains whose servers must get nothing new. */
export interface Evacuations {
  has(failureDomain: string): boolean;
  /** The known evacuations, with the position of the store as of which they are known. */
  snapshot(): EvacuationSnapshot;
  /** Adds the evacuation of a domain; one of an older position changes nothing. */
  put(failureDomain: string, position: StorePosition): void;
  /** Ends the evacuation of a domain. */
  remove(failureDomain: string, position: StorePosition): void;
  /** Replaces all evacuations by those of a newer snapshot. */
  replace(snapshot: EvacuationSnapshot): void;
  /** Calls a listener after each change, with the domains whose evacuation has ended. */
  onChange(run: (ended: readonly string[]) => void): void;
}

/** Options of {@link createEvacuations}. */
export interface EvacuationsOptions {
  readonly logger: Logger;
  /** Region of each failure domain. */
  readonly regions: () => Readonly<Record<string, string>>;
}

class EvacuationSet implements Evacuations {
  private domains: ReadonlySet<string> = new Set();

  private position: StorePosition = { era: 0, revision: 0 };

  private readonly listeners: ((ended: readonly string[]) => void)[] = [];

  constructor(private readonly options: EvacuationsOptions) {}

  has(failureDomain: string): boolean {
    return this.domains.has(failureDomain);
  }

  snapshot(): EvacuationSnapshot {
    return { domains: [...this.domains], ...this.position };
  }

  put(failureDomain: string, position: StorePosition): void {
    this.change([...this.domains, failureDomain], position);
  }

  remove(failureDomain: string, position: StorePosition): void {
    this.change(
      [...this.domains].filter((each) => each !== failureDomain),
      position,
    );
  }

  replace({ domains, ...position }: EvacuationSnapshot): void {
    if (comparePositions(position, this.position) > 0) {
      this.apply(domains, position);
    }
  }

  onChange(run: (ended: readonly string[]) => void): void {
    this.listeners.push(run);
  }

  /** One transaction of the store may change several domains at the same position. */
  private change(domains: readonly string[], position: StorePosition): void {
    if (comparePositions(position, this.position) >= 0) {
      this.apply(domains, position);
    }
  }

  private apply(domains: readonly string[], position: StorePosition): void {
    const before = this.domains;
    this.position = position;
    this.domains = new Set(domains);
    const begun = [...this.domains].filter((domain) => !before.has(domain));
    const ended = [...before].filter((domain) => !this.domains.has(domain));
    begun.forEach((failureDomain) => this.logBegin(failureDomain));
    ended.forEach((failureDomain) =>
      this.options.logger.event('evacuationEnded', { evacuated: failureDomain, ...position }),
    );
    if (begun.length > 0 || ended.length > 0) {
      this.listeners.forEach((run) => run(ended));
    }
  }

  private logBegin(failureDomain: string): void {
    const isKnown = Object.hasOwn(this.options.regions(), failureDomain);
    const event = isKnown ? 'evacuationBegun' : 'evacuationUnknown';
    this.options.logger.event(event, { evacuated: failureDomain, ...this.position });
  }
}

/**
 * Creates the set of evacuated failure domains. It is ordered by the position of the store: the newest knowledge holds,
 * whether it came from the store, a relay or another host. A domain that no server is in has no effect.
 *
 * @param options - logger and the known failure domains
 * @returns the set, empty at first
 */
export default function createEvacuations(options: EvacuationsOptions): Evacuations {
  return new EvacuationSet(options);
}
