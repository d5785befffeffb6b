import isPermitted from './isPermitted.js';

/** Regions between which is chosen. */
export interface RegionOptions {
  /** Permitted regions; undefined permits any. */
  readonly regions: readonly string[] | undefined;
  readonly preferred: string;
  /** Whether a region has servers that are needed. */
  readonly hasServers: (region: string) => boolean;
}

/**
 * Chooses the region whose scheduler and batch owners are asked for a request. Without a restriction it is the preferred
 * one. A restricted request goes to a region with servers, because a host of an earlier build falls back to all regions
 * when its own region has none.
 *
 * @param options - permitted and preferred region
 * @returns the region; undefined when none is permitted
 */
export default function chooseRegion({ regions, preferred, hasServers }: RegionOptions): string | undefined {
  if (regions === undefined) {
    return preferred;
  }
  const ranked = isPermitted(regions, preferred) ? [preferred, ...regions] : regions;
  return ranked.find(hasServers) ?? ranked[0];
}
