import type { DocumentVersion } from '@bergamotcove/protocol';

/** Difference between the document versions of two hosts. */
export interface VersionDifference {
  /** Services of which this host has a newer version, or the same version with another hash. */
  readonly newer: readonly string[];
  /** Services of which the other host has a newer version. */
  readonly wanted: readonly string[];
}

/**
 * Compares the document versions of this host with those of another host.
 *
 * @param own - versions of this host
 * @param other - versions of the other host
 * @returns the services of which the other host and this host need the document
 * @example
 * compareVersions([{ service: 'clerk', version: 3, hash: 'a' }], []); // { newer: ['clerk'], wanted: [] }
 */
export default function compareVersions(
  own: readonly DocumentVersion[],
  other: readonly DocumentVersion[],
): VersionDifference {
  const otherByService = new Map(other.map((item) => [item.service, item]));
  const ownByService = new Map(own.map((item) => [item.service, item]));
  const newer = own.filter((item) => {
    const otherVersion = otherByService.get(item.service);
    return (
      otherVersion === undefined ||
      item.version > otherVersion.version ||
      (item.version === otherVersion.version && item.hash !== otherVersion.hash)
    );
  });
  const wanted = other.filter((item) => item.version > (ownByService.get(item.service)?.version ?? 0));
  return { newer: newer.map(({ service }) => service), wanted: wanted.map(({ service }) => service) };
}
