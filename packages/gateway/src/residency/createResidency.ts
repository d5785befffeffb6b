import { findPermittedRegions, isPermitted, matchRoute, reviewResidency, type RouteIndex } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { RouteTableHolder } from '../catalogue/createRouteTableHolder.js';
import type { ForwardRequest } from '../requests/types.js';

/** The part of a request that decides which regions may serve it. */
export type ResidentRequest = Pick<ForwardRequest, 'host' | 'path' | 'facts' | 'route' | 'organisation'>;

/** Regions that may serve requests, by the newest route table on this host. */
export interface Residency {
  /** Regions that may serve a request; undefined when any may. */
  findRegions(request: ResidentRequest): readonly string[] | undefined;
  /** Whether a server in a region may get a request; a region that is not known only when any may. */
  permits(request: ResidentRequest, region: string | undefined): boolean;
  /** Calls a listener after each new table that restricts the request; returns a function that ends this. */
  onRestricted(request: ResidentRequest, run: () => void): () => void;
}

/** Options of {@link createResidency}. */
export interface ResidencyOptions {
  readonly logger: Logger;
  readonly tables: Pick<RouteTableHolder, 'current' | 'onChange'>;
  /** Region of each failure domain. */
  readonly regions: () => Readonly<Record<string, string>>;
}

/** Limit on the names in one log line. */
const MAX_LISTED = 20;

/**
 * Creates the rule of the regions that may serve requests. A request whose route or key the newest table lacks keeps the
 * restriction of the table that it was matched with.
 *
 * @param options - route tables and known regions
 * @returns the rule
 */
export default function createResidency({ logger, tables, regions }: ResidencyOptions): Residency {
  const listeners = new Set<() => void>();

  const review = ({ table }: RouteIndex): void => {
    const { unknown, unserved } = reviewResidency(table, Object.values(regions()));
    if (unknown.length > 0 || unserved.length > 0) {
      const listed = { unknown: unknown.slice(0, MAX_LISTED), unserved: unserved.slice(0, MAX_LISTED) };
      logger.event('homeRegionsUnserved', { version: table.version, ...listed });
    }
  };
  tables.onChange((index) => {
    review(index);
    [...listeners].forEach((run) => run());
  });

  const findRegions: Residency['findRegions'] = ({ host, path, facts, route, organisation }) => {
    const index = tables.current();
    const current = index === undefined ? undefined : matchRoute(index, host, path);
    const { organisationKey: key } = facts;
    const holder = key === undefined ? undefined : index?.organisationsByKey.get(key);
    return findPermittedRegions(current ?? route, holder ?? organisation);
  };

  return {
    findRegions,
    permits: (request, region) => isPermitted(findRegions(request), region),
    onRestricted: (request, run) => {
      const listener = (): void => {
        if (findRegions(request) !== undefined) {
          run();
        }
      };
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
