import type { AcceptedDocument } from '@bergamotcove/config';
import { readHead, readVersion, type StoreClient } from '@bergamotcove/backends';
import CtlError from '../CtlError.js';

/**
 * Reads a version of a service document that must exist.
 *
 * @param store - configuration store
 * @param service - service name
 * @param version - version number; the current one when absent
 * @returns the version
 * @throws CtlError `not-found` that names the versions that exist
 */
export default async function requireVersion(
  store: StoreClient,
  service: string,
  version?: number,
): Promise<AcceptedDocument> {
  const { current } = await readHead(store, service);
  if (current === undefined) {
    throw new CtlError('not-found', `service "${service}" has no document; check the name or apply one`);
  }
  if (version === undefined || version === current.version) {
    return current;
  }
  const found = await readVersion(store, service, version);
  if (found === undefined) {
    const message = `service "${service}" has no version ${version}; its current version is ${current.version}`;
    throw new CtlError('not-found', message);
  }
  return found;
}
