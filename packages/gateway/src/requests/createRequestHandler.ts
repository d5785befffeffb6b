import type { Route, RouteOrganisation } from '@bergamotcove/config';
import {
  createSizeAverages,
  findContinuers,
  matchRoute,
  rankRequest,
  acceptsWhileDraining,
  valueRequest,
  type DrainTimes,
  type RouteIndex,
  type StreamOrigin,
} from '@bergamotcove/decide';
import { STOPPING_RETRY_AFTER_MS, type default as CallerExchange, type Refusal } from '../callers/CallerExchange.js';
import readCallerBody from '../callers/readCallerBody.js';
import type { RouteTableHolder } from '../catalogue/createRouteTableHolder.js';
import formatFingerprint from '../crashes/formatFingerprint.js';
import listPartKeys from '../crashes/listPartKeys.js';
import type { RequestFacts, RequestFormat } from '../ports.js';
import type { AnswerMemory, AnswerMemoryShare } from '../servers/createAnswerMemory.js';
import type { ResidentRequest } from '../residency/createResidency.js';
import type { ForwardPorts } from './ForwardPorts.js';
import ForwardRun from './ForwardRun.js';
import type { ForwardEnd } from './RunRecord.js';
import dropsEndToEndField from './dropsEndToEndField.js';
import filterHeaders from './filterHeaders.js';
import type { ForwardRequest } from './types.js';
import { isResumable } from '../streams/createStreamOrigins.js';

/** Options of {@link createRequestHandler}. */
export interface RequestHandlerOptions extends ForwardPorts {
  readonly tables: RouteTableHolder;
  /** Memory for the bodies of callers' requests. */
  readonly callerMemory: AnswerMemory;
  /** Start and end of the drain of this host; undefined before it begins. */
  readonly drain: () => DrainTimes | undefined;
  /** Called when a request was matched to a route and read in full. */
  readonly onAccepted: (request: ForwardRequest) => void;
  readonly onEnded: (request: ForwardRequest, end: ForwardEnd) => void;
}

const NO_TABLE_RETRY_AFTER_MS = 500;
const NO_MEMORY_RETRY_AFTER_MS = 500;

/** Time to generate one token, as a multiple of the time to read one prompt token. */
const OUTPUT_WEIGHT = 10;

/** Size of a generation in prompt tokens; 1 for other requests. */
const measureSize = ({ generation }: RequestFacts): number =>
  generation === undefined ? 1 : generation.promptTokens + OUTPUT_WEIGHT * generation.maxOutputTokens;

/** Retry-After of a request that takes up a stream whose origin cannot be found now. */
const ORIGIN_UNKNOWN_RETRY_AFTER_MS = 300;
/** Retry-After when no server of that origin is known; one may be about to register. */
const ORIGIN_GONE_RETRY_AFTER_MS = 1_000;

/** Headers that are not forwarded. The content length is set again when the body is sent. */
const listWithheld = (format: RequestFormat): ReadonlySet<string> => new Set([...format.withheld, 'content-length']);

/** The route and organisation of a request, or why it has none. */
type RouteMatch =
  | { readonly type: 'matched'; readonly route: Route; readonly organisation: RouteOrganisation | undefined }
  | { readonly type: 'refused'; readonly refusal: Refusal };

/** Where the stream began that a request takes up, if it does, or why it cannot be taken up. */
type TakenUp =
  | { readonly type: 'ready'; readonly origin: StreamOrigin | undefined }
  | { readonly type: 'refused'; readonly refusal: Refusal };

/** A request that was read in full. */
interface ReadRequest {
  readonly facts: RequestFacts;
  readonly matched: Extract<RouteMatch, { type: 'matched' }>;
  readonly body: Buffer;
  readonly requestId: string;
}

const matchRequest = (index: RouteIndex, exchange: CallerExchange, facts: RequestFacts): RouteMatch => {
  const { headers, url = '/' } = exchange.request;
  const route = matchRoute(index, headers.host ?? '', url);
  if (route === undefined) {
    return { type: 'refused', refusal: { status: 404, reason: 'no-route' } };
  }
  const organisation =
    facts.organisationKey === undefined ? undefined : index.organisationsByKey.get(facts.organisationKey);
  if (!route.keyless && index.table.organisations !== undefined && organisation === undefined) {
    return { type: 'refused', refusal: { status: 401, reason: 'unknown-key' } };
  }
  return { type: 'matched', route, organisation };
};

/** Monotonic deadline: the earlier of the caller's deadline and the timeout of the route. */
const findDeadline = ({ arrivedAtMs }: CallerExchange, { deadlineMs = Infinity }: RequestFacts, route: Route): number =>
  arrivedAtMs + Math.min(deadlineMs, route.timeoutMs);

/** Whether a request goes on with a stream. A caller that states 0 and names no request has no event. */
const takesUp = ({ lastEventId, resumesRequestId }: RequestFacts): boolean =>
  lastEventId !== undefined && (Number(lastEventId) !== 0 || resumesRequestId !== undefined);

class Handler {
  private readonly withheld: ReadonlySet<string>;

  private readonly sizes = createSizeAverages();

  constructor(private readonly options: RequestHandlerOptions) {
    this.withheld = listWithheld(options.format);
  }

  async handle(exchange: CallerExchange): Promise<void> {
    const memory = this.options.callerMemory.open();
    try {
      await this.serve(exchange, memory);
    } finally {
      memory.close();
    }
  }

  private async serve(exchange: CallerExchange, memory: AnswerMemoryShare): Promise<void> {
    const { tables, format } = this.options;
    const facts = format.readRequest(exchange.request.headers);
    const index = tables.current();
    if (index === undefined) {
      this.reject(exchange, facts, { status: 503, reason: 'no-route-table', retryAfterMs: NO_TABLE_RETRY_AFTER_MS });
      return;
    }
    const matched = matchRequest(index, exchange, facts);
    if (matched.type === 'refused') {
      this.reject(exchange, facts, matched.refusal);
      return;
    }
    if (dropsEndToEndField(exchange.request.rawHeaders, format.requestFields)) {
      this.reject(exchange, facts, { status: 400, reason: 'bad-request' });
      return;
    }
    const { clock } = this.options;
    const { maxBodyBytes, idleTimeoutMs } = index.table.limits;
    const deadlineAtMs = findDeadline(exchange, facts, matched.route);
    const totalMs = deadlineAtMs - clock.monotonicMs();
    const read = await readCallerBody(exchange.request, {
      clock,
      maxBytes: maxBodyBytes,
      idleMs: idleTimeoutMs,
      totalMs,
      memory,
    });
    // The end of a stop refuses a request whose body is still awaited.
    if (read.type === 'broken' || !exchange.isOpen) {
      return;
    }
    if (read.type === 'no-memory') {
      this.reject(exchange, facts, { status: 503, reason: 'overloaded', retryAfterMs: NO_MEMORY_RETRY_AFTER_MS });
      return;
    }
    if (read.type === 'too-large') {
      this.reject(exchange, facts, { status: 413, reason: 'body-too-large' });
      return;
    }
    if (read.type === 'too-slow') {
      this.reject(exchange, facts, { status: 408, reason: 'body-too-slow' });
      return;
    }
    if (read.type === 'invalid' || facts.requestId === undefined) {
      this.reject(exchange, facts, { status: 400, reason: 'bad-request' });
      return;
    }
    await this.forward(exchange, index, { facts, matched, body: read.body, requestId: facts.requestId });
  }

  private async forward(exchange: CallerExchange, index: RouteIndex, read: ReadRequest): Promise<void> {
    const { request, arrivedAtMs } = exchange;
    const { facts, body, requestId } = read;
    const { route, organisation } = read.matched;
    const callerOrganisation = route.keyless ? undefined : organisation;
    const host = request.headers.host ?? '';
    const path = request.url ?? '/';
    const resident = { host, path, facts, route, organisation: callerOrganisation };
    const takenUp = await this.findTakenUp(resident);
    if (!exchange.isOpen) {
      return;
    }
    if (takenUp.type === 'refused') {
      this.reject(exchange, facts, takenUp.refusal);
      return;
    }
    const sizeTokens = measureSize(facts);
    const method = request.method ?? 'GET';
    const forward: ForwardRequest = {
      requestId,
      fingerprint: formatFingerprint({ method, path, organisation: callerOrganisation?.name, body }),
      partKeys: listPartKeys(facts.generation),
      method,
      headers: filterHeaders(request.rawHeaders, this.withheld),
      body: body.length > 0 || request.headers['content-length'] !== undefined ? body : undefined,
      ...resident,
      origin: takenUp.origin,
      priority: rankRequest(route.priority, organisation?.priority),
      value: valueRequest({
        routePriority: route.priority,
        organisationPriority: organisation?.priority,
        sizeTokens,
        meanSizeTokens: this.sizes.note(route.name, sizeTokens),
      }),
      arrivedAtMs,
      deadlineAtMs: findDeadline(exchange, facts, route),
      version: index.table.version,
    };
    const drain = this.options.drain();
    if (drain !== undefined && !acceptsWhileDraining(forward.deadlineAtMs, drain, this.options.clock.monotonicMs())) {
      this.reject(exchange, facts, { status: 503, reason: 'stopping', retryAfterMs: STOPPING_RETRY_AFTER_MS });
      return;
    }
    this.options.onAccepted(forward);
    const end = await new ForwardRun(forward, index, exchange, this.options).execute();
    this.options.onEnded(forward, end);
  }

  /** Finds the servers that may go on with the stream that a request takes up. It is refused unless there are some. */
  private async findTakenUp(resident: ResidentRequest): Promise<TakenUp> {
    const { route, facts } = resident;
    const { origins, directory, residency } = this.options;
    if (!takesUp(facts) || !isResumable(route)) {
      return { type: 'ready', origin: undefined };
    }
    const found = await origins.find(route, facts.resumesRequestId);
    if (found.type === 'unknown') {
      this.options.logger.event('streamOriginUnknown', {
        requestId: facts.requestId,
        resumes: facts.resumesRequestId,
        reason: found.reason,
      });
      const retryAfterMs = ORIGIN_UNKNOWN_RETRY_AFTER_MS;
      return { type: 'refused', refusal: { status: 503, reason: 'origin-unknown', retryAfterMs } };
    }
    const { origin } = found;
    const isRouted = route.pools.some(({ pool }) => pool === origin.pool);
    const servers = findContinuers(directory.list(origin.pool), origin);
    if (!isRouted || !servers.some(({ region }) => residency.permits(resident, region))) {
      const retryAfterMs = ORIGIN_GONE_RETRY_AFTER_MS;
      return { type: 'refused', refusal: { status: 503, reason: 'origin-gone', retryAfterMs } };
    }
    return { type: 'ready', origin };
  }

  private reject(exchange: CallerExchange, facts: RequestFacts, refusal: Refusal): void {
    const { logger, metrics, tables } = this.options;
    metrics.report('request.rejected', 1, { reason: refusal.reason });
    logger.event('requestDenied', {
      requestId: facts.requestId,
      status: refusal.status,
      reason: refusal.reason,
      version: tables.current()?.table.version,
      host: exchange.request.headers.host,
    });
    exchange.refuse(refusal);
  }
}

/**
 * Creates the handler of callers' requests. It matches the route and the key, reads the body and forwards the request.
 *
 * @param options - route tables and dependencies
 * @returns a function that handles one request; it never throws
 */
export default function createRequestHandler(options: RequestHandlerOptions): (exchange: CallerExchange) => void {
  const handler = new Handler(options);
  return (exchange) => {
    handler.handle(exchange).catch((cause: Error) => {
      options.logger.event('processFailed', { error: cause.message, stack: cause.stack });
      exchange.abort();
    });
  };
}
