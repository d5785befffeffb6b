import type { Clock } from '@bergamotcove/clock';
import { TransportError, type LinkClient } from '@bergamotcove/transport';
import type { HostEntry, HostRegistry } from '../hosts/createHostRegistry.js';
import type { Shape } from '../hosts/matchesShape.js';
import readVariant from '../hosts/readVariant.js';
import scheduleSilence from '../hosts/scheduleSilence.js';
import type { LimitDuty } from './createLimitDuty.js';
import type { PaceTable } from './createPaceTable.js';
import {
  ANNOUNCE_LIMITS,
  REPORT_LIMIT,
  TAKE_SEND,
  type PaceNotice,
  type TakeAnswer,
  type TakeRequest,
} from './messages.js';

/** Calls to the hosts that hand out sends. */
export interface OwnerCalls {
  /** Asks for a send; undefined when the host does not answer in time, or cannot decide. */
  ask(owner: HostEntry, request: TakeRequest): Promise<TakeAnswer | undefined>;
  /** Tells what this host has seen of servers that started or recovered. */
  report(owner: HostEntry, paces: readonly PaceNotice[]): void;
  /** Tells all hosts of servers that start again before their entries say so. */
  announce(paces: readonly PaceNotice[]): void;
  /** Records that a call to a host failed. */
  noteFailed(owner: HostEntry, cause: unknown): void;
  start(hosts: HostRegistry): void;
}

/** Options of {@link createOwnerCalls}. */
export interface OwnerCallsOptions {
  readonly clock: Clock;
  readonly links: LinkClient;
  readonly region: string;
  readonly duty: Pick<LimitDuty, 'noteUnable'>;
  readonly paces: Pick<PaceTable, 'rateOf'>;
}

const NOTICES: Shape = [
  { serverId: 'string', pool: 'string', startedAtMs: 'number', agoMs: 'number', 'requestsPerSecond?': 'number' },
];
const TAKE_ANSWERS: Readonly<Record<TakeAnswer['type'], Shape>> = {
  granted: { serverId: 'string', notices: NOTICES },
  later: { inMs: 'number', notices: NOTICES },
  'not-owner': {},
};

const readTakeAnswer = (message: unknown): TakeAnswer => {
  const answer = readVariant<TakeAnswer>(message, TAKE_ANSWERS);
  if (answer === undefined) {
    throw new Error('the answer to limits.take has missing or wrong fields');
  }
  return answer;
};

/** Time limits for the answer of the host that hands out sends; the request is sent elsewhere after that. */
const ANSWER_TIMEOUT_MS = 120;
const REMOTE_ANSWER_TIMEOUT_MS = 250;

/**
 * Creates the calls of a host to those that hand out sends.
 *
 * @param options - links to other hosts, and what is known of their versions
 * @returns the calls
 */
export default function createOwnerCalls(options: OwnerCallsOptions): OwnerCalls {
  const { clock, links, region, duty } = options;
  let hosts: HostRegistry | undefined;

  /** Refuses the permission of a host of an earlier version for a server that started: it grants without counting. */
  const checkPaced = (owner: HostEntry, answer: TakeAnswer): TakeAnswer | undefined => {
    if (answer.type !== 'granted' || answer.paced === true || options.paces.rateOf(answer.serverId) === undefined) {
      return answer;
    }
    duty.noteUnable(owner, 'paces');
    return undefined;
  };

  const noteFailed = (owner: HostEntry, cause: unknown): void => {
    const isOlder = cause instanceof TransportError && cause.code === 'invalid-message';
    return isOlder ? duty.noteUnable(owner) : hosts?.noteSilent(owner.hostId);
  };

  const toReport = (paces: readonly PaceNotice[]) => ({ hostId: hosts?.self.hostId, notices: [], paces });

  return {
    ask: (owner, { paces = [], askedBy = hosts?.self.hostId, ...request }) =>
      new Promise((resolve) => {
        const limitMs = owner.region === region ? ANSWER_TIMEOUT_MS : REMOTE_ANSWER_TIMEOUT_MS;
        const timer = scheduleSilence(clock, limitMs, () => {
          hosts?.noteSilent(owner.hostId);
          resolve(undefined);
        });
        links
          .call(owner.target, TAKE_SEND, paces.length === 0 ? request : { ...request, paces, askedBy })
          .then((message) => checkPaced(owner, readTakeAnswer(message)))
          .then(resolve, (cause: unknown) => {
            noteFailed(owner, cause);
            resolve(undefined);
          })
          .finally(() => timer.close());
      }),
    report: (owner, paces) => {
      links.call(owner.target, REPORT_LIMIT, toReport(paces)).catch((cause: unknown) => noteFailed(owner, cause));
    },
    announce: (paces) =>
      hosts
        ?.list()
        .filter(({ hostId }) => hostId !== hosts?.self.hostId)
        // A host that misses the message learns of the start from the entry of the server.
        .forEach(({ target }) => links.call(target, ANNOUNCE_LIMITS, toReport(paces)).catch(() => undefined)),
    noteFailed,
    start: (registry) => {
      hosts = registry;
    },
  };
}
