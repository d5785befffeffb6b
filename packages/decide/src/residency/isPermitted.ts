/**
 * Whether something in a region may serve a request.
 *
 * @param regions - permitted regions; undefined permits any
 * @param region - the region; undefined when it is not known
 * @returns whether it is permitted
 */
export default function isPermitted(regions: readonly string[] | undefined, region: string | undefined): boolean {
  return regions === undefined || (region !== undefined && regions.includes(region));
}
