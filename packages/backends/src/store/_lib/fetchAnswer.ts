import type { IncomingHttpHeaders } from 'node:http';
import { readBody, type HttpClient, type HttpRequest, type Target } from '@bergamotcove/transport';

/** Limits of one call to the store. */
export interface AnswerLimits {
  /** Time until the answer begins; then the connection counts as silent. */
  readonly beginMs: number;
  /** Cancels the call when it aborts. */
  readonly abort: AbortController;
}

/** A whole answer of the store. */
export interface StoreAnswer {
  readonly status: number;
  readonly body: string;
  readonly headers: IncomingHttpHeaders;
}

/** Answers hold a few values of up to a megabyte. */
const MAX_ANSWER_BYTES = 8 * 1_048_576;
/** Time for the rest of an answer: a megabyte for each host of a region comes over one narrow link. */
const BODY_LIMIT_MS = 6_000;

/**
 * Sends a call and reads its answer. An answer has to begin soon; a large one may take longer to arrive.
 *
 * @param http - HTTP client
 * @param target - address of the store
 * @param request - call, without a signal
 * @param limits - time until the answer begins, and what cancels the call
 * @returns the whole answer
 * @throws TransportError when the connection breaks or a limit has passed
 */
export default async function fetchAnswer(
  http: HttpClient,
  target: Target,
  request: HttpRequest,
  { beginMs, abort }: AnswerLimits,
): Promise<StoreAnswer> {
  let timer = setTimeout(() => abort.abort(), beginMs);
  try {
    const response = await http.open(target, { ...request, signal: abort.signal });
    clearTimeout(timer);
    timer = setTimeout(() => abort.abort(), BODY_LIMIT_MS);
    const body = await readBody(response, { maxBytes: MAX_ANSWER_BYTES });
    return { status: response.statusCode ?? 0, body, headers: response.headers };
  } finally {
    clearTimeout(timer);
  }
}
