/** Accepts each signed message once and only while it is fresh. */
export interface ReplayGuard {
  accept(stampMs: number, nonce: string): 'fresh' | 'stale' | 'replayed';
}

/** Largest difference between the clocks of two hosts plus the delay of a message. */
export const REPLAY_WINDOW_MS = 60_000;

/**
 * Creates a replay guard. A nonce is remembered for at least the time in which its stamp is accepted: two windows.
 *
 * @param nowMs - wall time of this host
 * @param options - width of the window to each side of now
 * @returns the guard
 * @example
 * guard.accept(stampMs, nonce); // 'fresh' once, then 'replayed'
 */
export default function createReplayGuard(
  nowMs: () => number,
  options: { readonly windowMs: number } = { windowMs: REPLAY_WINDOW_MS },
): ReplayGuard {
  const generationMs = 2 * options.windowMs;
  let current = new Set<string>();
  let previous = new Set<string>();
  let rotatedMs = nowMs();

  const rotate = (now: number): void => {
    if (now - rotatedMs >= generationMs) {
      previous = now - rotatedMs >= 2 * generationMs ? new Set() : current;
      current = new Set();
      rotatedMs = now;
    }
  };

  return {
    accept: (stampMs, nonce) => {
      const now = nowMs();
      rotate(now);
      if (!(Math.abs(now - stampMs) <= options.windowMs)) {
        return 'stale';
      }
      if (current.has(nonce) || previous.has(nonce)) {
        return 'replayed';
      }
      current.add(nonce);
      return 'fresh';
    },
  };
}
