import isSameOrigin from './isSameOrigin.js';
import type { AgreedOrigins, ResumableRoute, StreamOrigin } from './types.js';

/** State of {@link planAgreement}: since when the agreed origin of a route has had no servers. */
export type UnservedSinceMs = ReadonlyMap<string, number>;

/** Inputs of {@link planAgreement}. */
export interface AgreementView {
  /** Agreed origins as the store holds them. */
  readonly agreed: AgreedOrigins;
  readonly routes: readonly ResumableRoute[];
  /** Routes of streams that may not be resumed now; none of those streams is recorded. */
  readonly unresumableRoutes?: readonly string[];
  /** Versions of the live servers of a pool, one for each server. */
  readonly versionsOf: (pool: string) => readonly string[];
  readonly unservedSinceMs: UnservedSinceMs;
  /** Longest time from the start of a stream to the last time at which its caller takes it up. */
  readonly streamLifeMs: number;
  readonly nowMs: number;
}

/** Result of {@link planAgreement}. */
export interface AgreementPlan {
  /** Agreed origins to be written; the same object as before when nothing changes. */
  readonly agreed: AgreedOrigins;
  readonly unservedSinceMs: UnservedSinceMs;
}

/** Agreed origin of a route whose streams without a record may have begun anywhere. */
const NO_ORIGIN: StreamOrigin = { pool: '', softwareVersion: '' };

/** Lists the origins at which streams of a route can begin, those with the most servers first. */
const listOrigins = (route: ResumableRoute, versionsOf: AgreementView['versionsOf']): readonly StreamOrigin[] =>
  route.pools
    .flatMap((pool) => {
      const versions = versionsOf(pool);
      return [...new Set(versions)].sort().map((softwareVersion) => ({
        origin: { pool, softwareVersion },
        servers: versions.filter((version) => version === softwareVersion).length,
      }));
    })
    .sort((a, b) => b.servers - a.servers)
    .map(({ origin }) => origin);

/**
 * Plans the agreed origins of all routes. A route without one gets an origin that another route has agreed on, else
 * the one with the most servers: all of its streams were recorded until then. An agreed origin is replaced, or dropped
 * with its route, once no stream can have begun there for the life of a stream; otherwise a stream without a record would
 * be taken for one of the new origin. A route whose streams may not be resumed has an empty agreed origin, which is
 * replaced in the same way when they may be.
 *
 * @param view - agreed origins, routes, servers and state
 * @returns the next agreed origins and state
 */
export default function planAgreement(view: AgreementView): AgreementPlan {
  const { agreed, routes, unresumableRoutes = [], versionsOf, streamLifeMs, nowMs } = view;
  const unservedSinceMs = new Map<string, number>();
  const originsByRoute = new Map(routes.map((route) => [route.name, listOrigins(route, versionsOf)]));
  const isDue = (name: string): boolean => {
    const sinceMs = view.unservedSinceMs.get(name) ?? nowMs;
    unservedSinceMs.set(name, sinceMs);
    return nowMs - sinceMs >= streamLifeMs;
  };
  let hasChanged = false;
  const next = new Map<string, StreamOrigin>();
  new Set([...agreed.keys(), ...originsByRoute.keys(), ...unresumableRoutes]).forEach((name) => {
    const known = agreed.get(name);
    if (unresumableRoutes.includes(name)) {
      next.set(name, NO_ORIGIN);
      hasChanged ||= !isSameOrigin(NO_ORIGIN, known);
      return;
    }
    const origins = originsByRoute.get(name) ?? [];
    const isServed = known !== undefined && origins.some((origin) => isSameOrigin(origin, known));
    if (known === undefined || (!isServed && isDue(name))) {
      // Streams of another route that this one now matches began without a record at the agreed origin of that route.
      const shared = known === undefined ? [...agreed.values()] : [];
      const replacement = origins.find((origin) => shared.some((each) => isSameOrigin(origin, each))) ?? origins[0];
      if (replacement !== undefined) {
        next.set(name, replacement);
        hasChanged = true;
      } else if (known !== undefined && originsByRoute.has(name)) {
        next.set(name, known);
      } else {
        hasChanged ||= known !== undefined;
      }
    } else {
      next.set(name, known);
    }
  });
  return { agreed: hasChanged ? next : agreed, unservedSinceMs };
}
