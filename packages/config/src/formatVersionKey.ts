import { VERSION_DIGITS, VERSIONS_PREFIX } from './constants.js';

/**
 * Builds the store key of one version of a service document.
 *
 * @param service - service name
 * @param version - version number, from 1
 * @returns the key; keys of a service sort by version
 * @example
 * formatVersionKey('clerk', 12); // '/bergamot/services/clerk/0000000012'
 */
export default function formatVersionKey(service: string, version: number): string {
  return `${VERSIONS_PREFIX}${service}/${String(version).padStart(VERSION_DIGITS, '0')}`;
}
