import type { AcceptedDocument } from '@bergamotcove/config';
import { readHead, readHistory, type StoreClient } from '@bergamotcove/backends';

/** State of a change. */
export type ChangeState =
  | { readonly type: 'accepted'; readonly accepted: AcceptedDocument; readonly currentVersion: number }
  | { readonly type: 'not-found'; readonly currentVersion: number };

/** Number of newest versions that are searched for a change; a service has about 70 changes a day. */
const SEARCHED_VERSIONS = 500;

/**
 * Looks for a change id in the history of a service.
 *
 * @param store - configuration store
 * @param service - service name
 * @param changeId - id of the change
 * @returns the version that the change created, if it was accepted
 */
export default async function findChange(store: StoreClient, service: string, changeId: string): Promise<ChangeState> {
  const { current } = await readHead(store, service);
  const currentVersion = current?.version ?? 0;
  const afterVersion = Math.max(0, currentVersion - SEARCHED_VERSIONS);
  const history = await readHistory(store, service, { afterVersion });
  const accepted = history.find((version) => version.changeId === changeId);
  return accepted === undefined
    ? { type: 'not-found', currentVersion }
    : { type: 'accepted', accepted, currentVersion };
}
