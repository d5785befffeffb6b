import type { Fault, Protection, Step } from './types.js';

/** Every step, in the order of a request's path. */
export const STEPS: readonly Step[] = [
  'accept',
  'parse',
  'send-encode',
  'send-retrieve',
  'send-rerank',
  'send-generate',
  'first-byte',
  'middle-of-stream',
  'last-byte',
  'claim',
  'send-call',
  'record',
  'answer',
  'resend',
];

/** Steps that exist only for the operation with a `once` call. */
export const ONCE_STEPS: readonly Step[] = ['claim', 'send-call', 'record'];

/** Every fault. */
export const FAULTS: readonly Fault[] = [
  'entry-crash',
  'server-crash',
  'pause',
  'slow',
  'reset',
  'reply-lost',
  'duplicate',
  'late',
  'swapped',
  'store-down',
  'store-slow',
  'store-reply-lost',
  'cut-store',
  'cut-peer',
  'cut-domain',
  'one-way-cut',
  'clock-step',
  'leaving',
  'drain',
  'poison',
];

/** Protections that the mutation check can turn off. */
export const PROTECTIONS: readonly Protection[] = [
  'sequence-fencing',
  'attempt-id',
  'claim-before-send',
  'drain-wait',
  'poison-stop',
];

/** Deadline of the requests of the matrix. */
export const DEADLINE_MS = 2_000;

/** Time over the deadline by which an answer must have come, for sockets and a busy event loop. */
export const DEADLINE_MARGIN_MS = 300;

/** Tokens of one generated answer. */
export const TOKENS_PER_ANSWER = 12;

/** Pause of an entry host; longer than the deadline, so that its requests are late when it wakes. */
export const PAUSE_MS = 2_400;

/** Time for which a crashed server refuses connections. */
export const SERVER_DOWN_MS = 400;

/** Wait before execution counts are read, for calls that are sent late. */
export const SETTLE_MS = 150;

/** Time from the entry of a leaving server in the host list until every host knows it. */
export const LEAVING_KNOWN_MS = 3_000;

/** Servers that one poisonous request may crash. */
export const MAX_POISON_CRASHES = 2;

/** Prefix of the store keys of claims. */
export const CLAIMS_PREFIX = '/bergamot/claims/';

/** Loopback address of every process. */
export const ADDRESS = '127.0.0.1';

/** Service of the matrix. */
export const SERVICE = 'matrix-ledger';
