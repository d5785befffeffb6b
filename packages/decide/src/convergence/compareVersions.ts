import type { DocumentVersion } from '@bergamotcove/protocol';

/** Difference between the documents of two hosts. */
export interface VersionDifference {
  /** Services of which this host has a newer version, or the same version with another hash. */
  readonly newer: readonly string[];
  /** Services of which the other host has a newer version. */
  readonly wanted: readonly string[];
}

/**
 * Compares the versions that another host holds with the own ones.
 *
 * @param own - versions of this host
 * @param other - versions of the other host
 * @returns what each side lacks
 * @example
 * compareVersions([{ service: 'clerk', version: 3, hash: 'a' }], []); // { newer: ['clerk'], wanted: [] }
 */
export default function compareVersions(
  own: readonly DocumentVersion[],
  other: readonly DocumentVersion[],
): VersionDifference {
  const others = new Map(other.map((item) => [item.service, item]));
  const owns = new Map(own.map((item) => [item.service, item]));
  const newer = own.filter((item) => {
    const theirs = others.get(item.service);
    return (
      theirs === undefined ||
      item.version > theirs.version ||
      (item.version === theirs.version && item.hash !== theirs.hash)
    );
  });
  const wanted = other.filter((item) => item.version > (owns.get(item.service)?.version ?? 0));
  return { newer: newer.map(({ service }) => service), wanted: wanted.map(({ service }) => service) };
}
