import xxhash from 'xxhash-wasm';

const { h32 } = await xxhash();

/**
 * Finds the home server of a prefix by rendezvous hashing, so that entry hosts agree on it without messages.
 *
 * @param prefixKey - identity of the prompt prefix
 * @param serverIds - candidate servers
 * @returns id of the home server, or undefined without candidates
 * @example
 * findHome('brescia/explain-invoice', ['e1', 'e2']);
 */
export default function findHome(prefixKey: string, serverIds: readonly string[]): string | undefined {
  let home: string | undefined;
  let best = -1;
  serverIds.forEach((serverId) => {
    const hash = h32(`${prefixKey} ${serverId}`);
    if (hash > best) {
      best = hash;
      home = serverId;
    }
  });
  return home;
}
