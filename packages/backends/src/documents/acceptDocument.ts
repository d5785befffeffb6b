import type { Clock } from '@bergamotcove/clock';
import {
  formatVersionKey,
  HEADS_PREFIX,
  planAcceptance,
  settleAcceptance,
  type AcceptanceOutcome,
  type AcceptanceRequest,
  type AcceptedDocument,
  type ServiceDocument,
} from '@bergamotcove/config';
import BackendError from '../BackendError.js';
import type { StoreClient, TxnResult } from '../store/types.js';
import { parseEntry, readHead, readHistory } from './readDocuments.js';

/** Time limit and delay of the retries of a write that got no answer. */
export interface AcceptRetry {
  readonly clock: Clock;
  readonly giveUpAfterMs: number;
  readonly pauseMs: number;
}

/** Who accepts a document and when, and how a write that got no answer is retried. */
export interface AcceptOptions extends AcceptanceRequest {
  /** Without it, the write is retried once, without a delay. */
  readonly retry?: AcceptRetry;
}

/** Result of an acceptance. */
export type AcceptResult =
  | AcceptanceOutcome
  /** The write may have taken effect, and the store does not answer. */
  | { readonly type: 'unknown'; readonly changeId: string };

/** Write of one accepted document, with the revision of the head that it replaces. */
interface Write {
  readonly store: StoreClient;
  readonly accepted: AcceptedDocument;
  readonly headRevision: string;
}

const sendWrite = ({ store, accepted, headRevision }: Write): Promise<TxnResult> => {
  const headKey = HEADS_PREFIX + accepted.document.service;
  const versionKey = formatVersionKey(accepted.document.service, accepted.version);
  const value = JSON.stringify(accepted);
  return store.txn(
    [
      { type: 'mod-revision', key: headKey, revision: headRevision },
      { type: 'create-revision', key: versionKey, revision: '0' },
    ],
    [
      { type: 'put', key: headKey, value },
      { type: 'put', key: versionKey, value },
    ],
    [
      { type: 'get', key: versionKey },
      { type: 'get', key: headKey },
    ],
  );
};

const toOutcome = (accepted: AcceptedDocument, result: TxnResult): AcceptanceOutcome => {
  if (result.succeeded) {
    return { type: 'accepted', version: accepted.version };
  }
  const [atVersion, head] = result.gets;
  return settleAcceptance(accepted, { atVersion: parseEntry(atVersion), head: parseEntry(head) });
};

const waitBeforeRetry = (retry: AcceptRetry | undefined): Promise<void> =>
  new Promise((resolve) => {
    if (retry === undefined) {
      resolve();
    } else {
      retry.clock.schedule(retry.pauseMs, resolve);
    }
  });

/** Attempts of a write that is sent until the store answers. */
interface Attempts {
  readonly count: number;
  readonly startedAtMs: number;
  /** Whether an earlier attempt may have taken effect. */
  readonly mayBeApplied: boolean;
}

const mayRetry = (attempts: Attempts, retry: AcceptRetry | undefined): boolean =>
  retry === undefined ? attempts.count < 2 : retry.clock.monotonicMs() - attempts.startedAtMs < retry.giveUpAfterMs;

/**
 * Sends the write until the store answers. A retry is safe: the transaction creates the version key, so it takes effect
 * at most once, and a failed transaction returns the change id that is stored under that key.
 */
const sendWithRetry = async (
  write: Write,
  retry: AcceptRetry | undefined,
  attempts: Attempts,
): Promise<AcceptResult> => {
  let result: TxnResult;
  try {
    result = await sendWrite(write);
  } catch (cause) {
    const hadNoEffect = cause instanceof BackendError && cause.code === 'unavailable';
    const next = { ...attempts, count: attempts.count + 1, mayBeApplied: attempts.mayBeApplied || !hadNoEffect };
    if (mayRetry(attempts, retry)) {
      await waitBeforeRetry(retry);
      return sendWithRetry(write, retry, next);
    }
    if (!next.mayBeApplied) {
      throw cause;
    }
    return { type: 'unknown', changeId: write.accepted.changeId };
  }
  return toOutcome(write.accepted, result);
};

/**
 * Stores a service document as its next version by compare-and-swap. A write that got no answer is retried, and the
 * stored change id shows whether an earlier attempt took effect.
 *
 * @param store - configuration store
 * @param document - validated document
 * @param options - who accepts it, the version that it replaces, and retries
 * @returns whether the version was accepted, conflicts with another one, or may have been written
 * @throws BackendError when nothing was written because the store did not answer
 * @example
 * await acceptDocument(store, document, { changeId: randomUUID(), acceptedBy: 'ann', acceptedAtMs: Date.now() });
 */
export default async function acceptDocument(
  store: StoreClient,
  document: ServiceDocument,
  options: AcceptOptions,
): Promise<AcceptResult> {
  const { retry, ...request } = options;
  const head = await readHead(store, document.service);
  const newer = await readHistory(store, document.service, { afterVersion: head.current?.version ?? 0 });
  const highestVersion = newer.at(-1)?.version ?? head.current?.version ?? 0;
  const plan = planAcceptance({ current: head.current, highestVersion }, document, request);
  return plan.type === 'conflict'
    ? plan
    : sendWithRetry({ store, accepted: plan.accepted, headRevision: head.revision }, retry, {
        count: 1,
        startedAtMs: retry?.clock.monotonicMs() ?? 0,
        mayBeApplied: false,
      });
}
