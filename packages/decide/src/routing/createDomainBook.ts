/** Owner of what one entry host has heard from the other failure domains. */
export interface DomainBook {
  /** A server of the failure domain answered or sent a token. */
  noteHeard(failureDomain: string, nowMs: number): void;
  /** A server of the failure domain has sent nothing since the given time, which is longer than usual. */
  noteSilent(failureDomain: string, times: { readonly sinceMs: number; readonly nowMs: number }): void;
  /** Failure domains that look cut off; they get work only if no other server is left. */
  suspected(nowMs: number): ReadonlySet<string>;
}

/** First time for which a silent failure domain is avoided; it doubles each time that the silence is confirmed. */
const MIN_SUSPICION_MS = 1_000;
/** A partition can last an hour; at this interval requests find out if it has ended, and each costs a hedge. */
const MAX_SUSPICION_MS = 4_000;

interface Suspicion {
  readonly durationMs: number;
  readonly untilMs: number;
}

class Book implements DomainBook {
  private readonly heardAtMs = new Map<string, number>();

  private readonly suspicions = new Map<string, Suspicion>();

  constructor(private readonly ownDomain: string) {}

  noteHeard(failureDomain: string, nowMs: number): void {
    this.heardAtMs.set(failureDomain, nowMs);
    this.suspicions.delete(failureDomain);
  }

  noteSilent(failureDomain: string, { sinceMs, nowMs }: { readonly sinceMs: number; readonly nowMs: number }): void {
    const known = this.suspicions.get(failureDomain);
    // Another server of the failure domain was heard in the meantime, so that only this one is slow.
    const isReachable = (this.heardAtMs.get(failureDomain) ?? -Infinity) >= sinceMs;
    if (failureDomain === this.ownDomain || isReachable || (known?.untilMs ?? -Infinity) > nowMs) {
      return;
    }
    const durationMs = Math.min(MAX_SUSPICION_MS, Math.max(MIN_SUSPICION_MS, (known?.durationMs ?? 0) * 2));
    this.suspicions.set(failureDomain, { durationMs, untilMs: nowMs + durationMs });
  }

  suspected(nowMs: number): ReadonlySet<string> {
    return new Set([...this.suspicions].filter(([, { untilMs }]) => untilMs > nowMs).map(([name]) => name));
  }
}

/**
 * Creates the owner of the suspicions against whole failure domains. The failure domain of the host itself is never
 * suspected, because the host has no other way to serve its requests.
 *
 * @param ownDomain - failure domain of this host
 * @returns the book
 * @example
 * const book = createDomainBook('lombardy-1');
 * book.noteSilent('veneto-1', { sinceMs: sentAtMs, nowMs });
 * book.suspected(nowMs).has('veneto-1');
 */
export default function createDomainBook(ownDomain: string): DomainBook {
  return new Book(ownDomain);
}
