import type { StoreClient, StoreClientOptions } from '@bergamotcove/backends';
import { CLAIMS_PREFIX } from '../constants.js';
import { ORIGINAL, type OriginalModule } from './importOriginal.js';

const { default: createClient } = (await import(ORIGINAL)) as OriginalModule<
  (options: StoreClientOptions) => StoreClient
>;

/**
 * Creates a store client that writes claims without the condition that the sequence number is free and that the
 * snapshot is the known one.
 */
export default function storeWithoutFencing(options: StoreClientOptions): StoreClient {
  const client = createClient(options);
  const txn = client.txn.bind(client);
  client.txn = (compares, success, failure) => {
    const writesClaims = success.some((op) => op.key.startsWith(CLAIMS_PREFIX));
    return txn(writesClaims ? [] : compares, success, failure);
  };
  return client;
}
