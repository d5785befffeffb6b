/** Accepts each signed message once, and only while its timestamp is within the window. */
export interface ReplayGuard {
  accept(timestampMs: number, nonce: string): 'fresh' | 'stale' | 'replayed';
}

/** Largest allowed sum of the clock difference of two hosts and the delay of a message. */
export const REPLAY_WINDOW_MS = 60_000;

/**
 * Creates a replay guard. A nonce is remembered at least for as long as its timestamp is accepted, which is two windows.
 *
 * @param nowMs - wall time of this host
 * @param options - width of the window to each side of now
 * @returns the guard
 * @example
 * guard.accept(timestampMs, nonce); // 'fresh' once, then 'replayed'
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
    accept: (timestampMs, nonce) => {
      const now = nowMs();
      rotate(now);
      if (!(Math.abs(now - timestampMs) <= options.windowMs)) {
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
