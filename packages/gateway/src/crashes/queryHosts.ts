import type { Clock } from '@bergamotcove/clock';
import type { LinkClient } from '@bergamotcove/transport';
import type { HostEntry } from '../hosts/createHostRegistry.js';

/** A call to several hosts. */
export interface HostQuery {
  readonly method: string;
  readonly params: object;
  /** Time after which the answers that are still missing are not awaited any more. */
  readonly limitMs: number;
  /** Called with each answer; true when no more answers are needed. An answer that makes it throw counts as none. */
  readonly onAnswer: (answer: unknown) => boolean;
}

/**
 * Calls a method of several hosts at once. Hosts that cannot be reached or do not know the method do not answer.
 *
 * @param hosts - hosts to call
 * @param query - method, parameters and receiver of the answers
 * @param ports - clock, and links to the hosts
 * @returns resolves when all hosts have answered or failed, the answers are enough, or the time limit has passed
 */
export default function queryHosts(
  hosts: readonly HostEntry[],
  { method, params, limitMs, onAnswer }: HostQuery,
  { clock, links }: { readonly clock: Clock; readonly links: LinkClient },
): Promise<void> {
  if (hosts.length === 0) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    let open = hosts.length;
    let settled = false;
    const timer = clock.schedule(limitMs, () => {
      settled = true;
      resolve();
    });
    const settle = (isEnough: boolean): void => {
      open -= 1;
      if (isEnough || open === 0) {
        settled = true;
        timer.close();
        resolve();
      }
    };
    hosts.forEach(({ target }) => {
      links
        .call(target, method, params)
        .then((answer) => !settled && onAnswer(answer))
        .then(settle, () => settle(false));
    });
  });
}
