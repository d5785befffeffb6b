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

/** How long a write whose reply was lost is sent again. */
export interface AcceptRetry {
  readonly clock: Clock;
  readonly giveUpAfterMs: number;
  readonly pauseMs: number;
}

/** Facts of one acceptance, and how it settles a lost reply. */
export interface AcceptOptions extends AcceptanceRequest {
  /** One further attempt when absent. */
  readonly retry?: AcceptRetry;
}

/** Result of an acceptance. */
export type AcceptResult =
  | AcceptanceOutcome
  /** The write may have taken effect and the store cannot be asked. */
  | { readonly type: 'unknown'; readonly changeId: string };

/** One acceptance with the head that it replaces. */
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

const pause = (retry: AcceptRetry | undefined): Promise<void> =>
  new Promise((resolve) => {
    if (retry === undefined) {
      resolve();
    } else {
      retry.clock.schedule(retry.pauseMs, resolve);
    }
  });

/** Progress of a write that is sent until the store answers. */
interface Tries {
  readonly count: number;
  readonly startedAtMs: number;
  /** Whether an earlier try may have taken effect. */
  readonly mayHaveRun: boolean;
}

const mayTryAgain = (tries: Tries, retry: AcceptRetry | undefined): boolean =>
  retry === undefined ? tries.count < 2 : retry.clock.monotonicMs() - tries.startedAtMs < retry.giveUpAfterMs;

/**
 * Sends the write until the store answers. Sending it again is safe: the transaction creates the version key, so it
 * takes effect at most once, and its failure shows whose change id stands there.
 */
const writeUntilKnown = async (write: Write, retry: AcceptRetry | undefined, tries: Tries): Promise<AcceptResult> => {
  let result: TxnResult;
  try {
    result = await sendWrite(write);
  } catch (cause) {
    const hadNoEffect = cause instanceof BackendError && cause.code === 'unavailable';
    const next = { ...tries, count: tries.count + 1, mayHaveRun: tries.mayHaveRun || !hadNoEffect };
    if (mayTryAgain(tries, retry)) {
      await pause(retry);
      return writeUntilKnown(write, retry, next);
    }
    if (!next.mayHaveRun) {
      throw cause;
    }
    return { type: 'unknown', changeId: write.accepted.changeId };
  }
  return toOutcome(write.accepted, result);
};

/**
 * Accepts a service document as the next version by compare-and-swap. A write whose reply was lost is sent again and
 * settled by its change id.
 *
 * @param store - configuration store
 * @param document - checked document
 * @param options - who accepts, and the version that it replaces
 * @returns whether the version is accepted, lost a race, or cannot be known
 * @throws BackendError when nothing was written because the store could not be reached
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
    : writeUntilKnown({ store, accepted: plan.accepted, headRevision: head.revision }, retry, {
        count: 1,
        startedAtMs: retry?.clock.monotonicMs() ?? 0,
        mayHaveRun: false,
      });
}
