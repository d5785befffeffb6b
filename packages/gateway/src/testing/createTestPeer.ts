import type { LinkPeer } from '@bergamotcove/transport';

/** Link to another host, with a function that closes it. */
export interface TestPeer {
  readonly peer: LinkPeer;
  readonly drop: () => void;
}

/** Creates a link to another host for tests. */
export default function createTestPeer(): TestPeer {
  const closers = new Set<() => void>();
  const peer: LinkPeer = {
    remoteAddress: '10.0.0.2',
    onClose: (run) => {
      closers.add(run);
      return () => closers.delete(run);
    },
  };
  return { peer, drop: () => closers.forEach((run) => run()) };
}
