import type { PeerAddress } from '@bergamotcove/protocol';
import type { VirtualFleet } from './createVirtualFleet.js';

/** Cuts one failure domain from the others and from the store. */
export function cutDomain(fleet: VirtualFleet, name: string): void {
  Object.assign(fleet.network.faults, {
    isCut: (from: PeerAddress, to: PeerAddress) => (from.failureDomain === name) !== (to.failureDomain === name),
  });
  Object.assign(fleet.store.faults, { isCut: (from: PeerAddress) => from.failureDomain === name });
}

/** Ends every fault of the network and the store. */
export function healAll(fleet: VirtualFleet): void {
  Object.assign(fleet.network.faults, { isCut: () => false, lossRatio: 0, lostReplyRatio: 0 });
  Object.assign(fleet.store.faults, {
    isCut: () => false,
    down: false,
    delayMs: 2,
    lostReplyRatio: 0,
    staleReadRatio: 0,
  });
}

/** Runs until the condition holds; returns the time that it took, or the limit. */
export async function runUntil(
  fleet: VirtualFleet,
  done: () => boolean,
  { limitMs, stepMs }: { readonly limitMs: number; readonly stepMs: number },
): Promise<number> {
  const startMs = fleet.clock.monotonicMs();
  while (!done() && fleet.clock.monotonicMs() - startMs < limitMs) {
    await fleet.run(stepMs);
  }
  return fleet.clock.monotonicMs() - startMs;
}
