import type { StoreClient } from '@bergamotcove/backends';
import type { CommandContext } from '../types.js';
import withProgress from '../cli/withProgress.js';

/**
 * Runs work with a store client and closes the client.
 *
 * @param context - command line with the store's addresses
 * @param label - what the work does, for progress
 * @param work - the work
 * @returns its result
 */
export default async function withStore<Result>(
  context: CommandContext,
  label: string,
  work: (store: StoreClient) => Promise<Result>,
): Promise<Result> {
  const store = context.ports.openStore(context.options.store);
  try {
    return await withProgress(context.ports, label, work(store));
  } finally {
    store.close();
  }
}
