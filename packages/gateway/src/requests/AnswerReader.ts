import type { IncomingMessage } from 'node:http';
import type { ServerView } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';
import { endsWithConnection } from '@bergamotcove/transport';
import type CallerExchange from '../callers/CallerExchange.js';
import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import checkConnection from '../crashes/checkConnection.js';
import type { RateLimits } from '../limits/createRateLimits.js';
import type { ServerPools } from '../servers/createServerPools.js';
import type { AnswerMemory } from '../servers/createAnswerMemory.js';
import type { OpenedAttempt } from '../servers/openAttempt.js';
import readAnswerBody from '../servers/readAnswerBody.js';
import type { StreamEvent } from './createEventSplitter.js';
import filterHeaders from './filterHeaders.js';
import type HeldResults from './HeldResults.js';
import relayStream from './relayStream.js';
import type Reservation from './Reservation.js';
import type RunAnswer from './RunAnswer.js';
import type RunRecord from './RunRecord.js';
import type StreamBinding from './StreamBinding.js';
import StreamPosition from './StreamPosition.js';
import type { AttemptResult, ForwardRequest } from './types.js';
import type { IdleTimeout } from './startIdleTimeout.js';
import { isResumable } from '../streams/createStreamOrigins.js';

/** The request whose answers are read, with its state. */
export interface AnsweredRun {
  readonly request: ForwardRequest;
  readonly exchange: CallerExchange;
  readonly record: RunRecord;
  readonly answer: RunAnswer;
  readonly results: HeldResults;
  readonly reservation: Reservation;
  readonly binding: StreamBinding;
}

/** The attempt whose answer is read. */
export interface ReadAttempt {
  readonly idleTimeout: IdleTimeout;
  /** Called when the server has produced output. */
  readonly onOutput: () => void;
  /** Monotonic time at which the request was sent. */
  readonly sentAtMs: number;
}

/** Dependencies of {@link AnswerReader}. */
export interface ReaderPorts {
  readonly logger: Logger;
  readonly metrics: ScrapedMetrics;
  readonly directory: BackendDirectory;
  readonly limits: RateLimits;
  readonly pools: ServerPools;
  readonly answerMemory: AnswerMemory;
}

const MIN_REDIRECT_STATUS = 300;
const CONTENT_LENGTH: ReadonlySet<string> = new Set(['content-length']);
/** A stream that pauses this long moves to another server, if one takes it; callers give up after two seconds or more. */
const STREAM_IDLE_TIMEOUT_MS = 1_500;

/** Reads the answers to the attempts of one request, and relays streams as they arrive. */
export default class AnswerReader {
  /** What the caller has of the stream. */
  readonly position: StreamPosition;

  /** Content type of the stream that was begun. */
  private contentType: string | undefined;

  constructor(
    private readonly run: AnsweredRun,
    private readonly ports: ReaderPorts,
  ) {
    const { route, facts } = run.request;
    this.position = new StreamPosition(isResumable(route) ? facts.lastEventId : undefined);
  }

  /** Reads the answer to one attempt in full, or relays it when it is a stream. */
  async read(server: ServerView, opened: OpenedAttempt, attempt: ReadAttempt): Promise<AttemptResult> {
    if (opened.type === 'failed') {
      const notRun = opened.failure.type === 'not-sent';
      if (opened.isFlooding === true) {
        this.ports.directory.suspendFlooding(server.serverId);
      }
      if (opened.notice !== undefined) {
        this.ports.directory.applyNotice(server.serverId, opened.notice);
      }
      this.run.record.noteRun(!notRun);
      return { type: 'ended', end: { type: notRun ? 'not-run' : 'unknown' }, resultsGone: false };
    }
    const { head, facts, response } = opened;
    if (facts.load !== undefined) {
      this.ports.pools.noteLoad(server.serverId, facts.load);
    }
    if (!facts.otherServer) {
      this.ports.directory.applyNotice(server.serverId, facts);
      this.ports.limits.noteAnswer(server.serverId, facts.rateLimit, attempt.sentAtMs);
    }
    if (facts.notRun) {
      response.resume();
      if (facts.otherServer) {
        this.ports.directory.noteReplaced(server.serverId);
      }
      return { type: 'ended', end: { type: 'not-run' }, resultsGone: facts.resultsGone };
    }
    this.run.record.noteRun(true);
    this.run.record.noteFirstByte();
    this.run.reservation.noteFirstToken(facts.load?.slowness);
    if (this.run.request.route.kind === 'stream' && head.status < MIN_REDIRECT_STATUS) {
      return this.relay(server, opened, attempt);
    }
    let read = await readAnswerBody(response, this.ports.answerMemory);
    if (read.type === 'whole' && (await this.endedInCrash(server, response))) {
      read = { type: 'broken' };
    }
    if (read.type === 'fragmented') {
      this.ports.directory.suspendFlooding(server.serverId);
    }
    return read.type === 'whole'
      ? {
          type: 'ended',
          end: { type: 'answered', status: head.status },
          answer: { head, body: read.body },
          resultsGone: false,
        }
      : { type: 'ended', end: { type: 'unknown' }, resultsGone: false };
  }

  private async relay(
    server: ServerView,
    { head, response }: Extract<OpenedAttempt, { type: 'head' }>,
    { idleTimeout, onOutput }: ReadAttempt,
  ): Promise<AttemptResult> {
    // The server fetches the results before it begins to generate.
    this.run.results.release();
    const contentType = response.headers['content-type'];
    // An answer of another type does not continue the stream.
    const isOther = this.run.exchange.headSent && contentType !== this.contentType;
    if (this.run.answer.ended || isOther) {
      response.destroy();
      return { type: 'ended', end: { type: 'unknown' }, resultsGone: false };
    }
    const sendHead = (): void => {
      if (!this.run.exchange.headSent) {
        this.contentType = contentType;
        // Another server may go on with the stream, so its length is not known.
        const headers = isResumable(this.run.request.route)
          ? filterHeaders(head.headers, CONTENT_LENGTH)
          : head.headers;
        this.run.exchange.sendHead({ ...head, headers });
      }
    };
    idleTimeout.restart(STREAM_IDLE_TIMEOUT_MS);
    const end = await relayStream(response, this.run.exchange, {
      signal: idleTimeout.signal,
      position: this.position,
      confirm: async () => (await this.run.binding.confirm()) && !this.run.answer.ended,
      onBytes: sendHead,
      onEvents: () => {
        onOutput();
        this.run.binding.noteEvents();
        idleTimeout.restart(STREAM_IDLE_TIMEOUT_MS);
      },
    });
    idleTimeout.close();
    if (end.type === 'complete' && !(await this.endedInCrash(server, response)) && !this.run.answer.ended) {
      sendHead();
      this.run.exchange.finish(end.rest);
      this.run.answer.end('answered', head.status, 'streamed');
      return { type: 'delivered' };
    }
    if (end.type === 'misplaced') {
      this.reportMisplaced(server, end.event);
    } else if (end.type === 'fragmented') {
      this.ports.directory.suspendFlooding(server.serverId);
    }
    const unrecorded = end.type === 'refused' && !this.run.binding.mayTryOthers;
    return { type: 'ended', end: { type: 'unknown' }, resultsGone: false, unrecorded };
  }

  /**
   * Whether an unframed answer ended because its server crashed: the operating system then closes the connection as
   * after a whole answer. A server that is leaving may end after its last answer.
   */
  private async endedInCrash(
    { serverId, pool, address, port }: ServerView,
    response: IncomingMessage,
  ): Promise<boolean> {
    if (!endsWithConnection(this.run.request.method, response)) {
      return false;
    }
    const isRefused = (await checkConnection({ address, port })) === 'refused';
    return isRefused && this.ports.directory.list(pool).some((server) => server.serverId === serverId);
  }

  private reportMisplaced({ serverId, pool }: ServerView, event: StreamEvent): void {
    const { logger, metrics } = this.ports;
    const { requestId } = this.run.request;
    metrics.report('streams.misplaced_events', 1, { pool });
    logger.event('streamEventMisplaced', {
      requestId,
      serverId,
      eventId: event.id,
      lastEventId: this.position.lastEventId,
    });
  }
}
