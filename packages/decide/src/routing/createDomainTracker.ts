/** Tracks which other failure domains one entry host suspects of being unreachable. */
export interface DomainTracker {
  /** Records that a server of the failure domain answered or sent a token. */
  noteHeard(failureDomain: string, nowMs: number): void;
  /** Records that a server of the failure domain has sent nothing since the given time, which is unusually long. */
  noteSilent(failureDomain: string, times: { readonly sinceMs: number; readonly nowMs: number }): void;
  /** Failure domains that seem unreachable; they get work only if no other server is left. */
  suspected(nowMs: number): ReadonlySet<string>;
}

/** First period for which a silent failure domain is avoided; it doubles each time that the silence is confirmed. */
const MIN_SUSPICION_MS = 1_000;
/**
 * Longest period for which a silent failure domain is avoided. A partition can last an hour; a request after each
 * period finds out whether it has ended, and each such request costs a hedge.
 */
const MAX_SUSPICION_MS = 4_000;

interface Suspicion {
  readonly durationMs: number;
  readonly untilMs: number;
}

class Tracker implements DomainTracker {
  private readonly heardAtMs = new Map<string, number>();

  private readonly suspicions = new Map<string, Suspicion>();

  constructor(private readonly ownDomain: string) {}

  noteHeard(failureDomain: string, nowMs: number): void {
    this.heardAtMs.set(failureDomain, nowMs);
    this.suspicions.delete(failureDomain);
  }

  noteSilent(failureDomain: string, { sinceMs, nowMs }: { readonly sinceMs: number; readonly nowMs: number }): void {
    const known = this.suspicions.get(failureDomain);
    // Another server of the failure domain answered in the meantime, so only this server is slow.
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
 * Creates the tracker of suspected failure domains. The failure domain of the host itself is never suspected, because
 * the host has no other way to serve its requests.
 *
 * @param ownDomain - failure domain of this host
 * @returns the tracker, without suspicions
 * @example
 * const domains = createDomainTracker('lombardy-1');
 * domains.noteSilent('veneto-1', { sinceMs: sentAtMs, nowMs });
 * domains.suspected(nowMs).has('veneto-1');
 */
export default function createDomainTracker(ownDomain: string): DomainTracker {
  return new Tracker(ownDomain);
}
