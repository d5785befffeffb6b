import type { IncomingHttpHeaders } from 'node:http';
import { readBody, type HttpClient, type HttpRequest, type Target } from '@bergamotcove/transport';

/** Limits of one call to the store. */
export interface AnswerLimits {
  /** Time limit until the headers of the answer arrive. */
  readonly headTimeoutMs: number;
  /** Cancels the call when it aborts. */
  readonly abort: AbortController;
}

/** A complete answer of the store. */
export interface StoreAnswer {
  readonly status: number;
  readonly body: string;
  readonly headers: IncomingHttpHeaders;
}

/** An answer contains a few values of up to one megabyte. */
const MAX_ANSWER_BYTES = 8 * 1_048_576;
/** Time limit for the body of an answer: each host of a region may read a megabyte over one shared, slow link. */
const BODY_TIMEOUT_MS = 6_000;

/**
 * Sends a call and reads its answer. The headers have a short time limit, the body a longer one, because it may be large.
 *
 * @param http - HTTP client
 * @param target - address of the store
 * @param request - call, without a signal
 * @param limits - time limit of the headers, and the controller that cancels the call
 * @returns the complete answer
 * @throws TransportError when the connection breaks or a limit is exceeded
 */
export default async function fetchAnswer(
  http: HttpClient,
  target: Target,
  request: HttpRequest,
  { headTimeoutMs, abort }: AnswerLimits,
): Promise<StoreAnswer> {
  let timer = setTimeout(() => abort.abort(), headTimeoutMs);
  try {
    const response = await http.open(target, { ...request, signal: abort.signal });
    clearTimeout(timer);
    timer = setTimeout(() => abort.abort(), BODY_TIMEOUT_MS);
    const body = await readBody(response, { maxBytes: MAX_ANSWER_BYTES });
    return { status: response.statusCode ?? 0, body, headers: response.headers };
  } finally {
    clearTimeout(timer);
  }
}
