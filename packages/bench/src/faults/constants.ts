import type { Fault, Protection, Step } from './types.js';

/** All steps, in the order in which a request passes them. */
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

/** All faults. */
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

/** Time after the deadline by which an answer must arrive; it allows for socket delays and a busy event loop. */
export const DEADLINE_MARGIN_MS = 300;

/** Tokens of one generated answer. */
export const TOKENS_PER_ANSWER = 12;

/** Pause of an entry host; longer than the deadline, so that its requests are late when it wakes. */
export const PAUSE_MS = 2_400;

/** Time for which a crashed server refuses connections. */
export const SERVER_DOWN_MS = 400;

/** Wait before execution counts are read, so that calls that are sent late are counted. */
export const SETTLE_MS = 150;

/** Time within which every host must learn from the host list that a server is leaving. */
export const LEAVING_KNOWN_MS = 3_000;

/** Maximum number of servers that one poison request may crash. */
export const MAX_POISON_CRASHES = 2;

/** Prefix of the store keys of claims. */
export const CLAIMS_PREFIX = '/bergamot/claims/';

/** Loopback address of every process. */
export const ADDRESS = '127.0.0.1';

/** Service of the matrix. */
export const SERVICE = 'matrix-ledger';
