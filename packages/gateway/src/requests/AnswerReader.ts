import type { ServerView } from '@bergamotcove/decide';
import type CallerExchange from '../callers/CallerExchange.js';
import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import type { RateLimits } from '../limits/createRateLimits.js';
import type { ServerPools } from '../servers/createServerPools.js';
import type { AnswerMemory } from '../servers/createAnswerMemory.js';
import type { OpenedAttempt } from '../servers/openAttempt.js';
import readAnswerBody from '../servers/readAnswerBody.js';
import type HeldResults from './HeldResults.js';
import relayStream from './relayStream.js';
import type Reservation from './Reservation.js';
import type RunAnswer from './RunAnswer.js';
import type RunRecord from './RunRecord.js';
import type StreamBinding from './StreamBinding.js';
import type { AttemptResult, ForwardRequest } from './types.js';
import type { IdleTimeout } from './startIdleTimeout.js';

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
  readonly directory: BackendDirectory;
  readonly limits: RateLimits;
  readonly pools: ServerPools;
  readonly answerMemory: AnswerMemory;
}

const MIN_REDIRECT_STATUS = 300;
/** A stream that pauses this long is resumed at another server; callers give up after two seconds or more. */
const STREAM_IDLE_TIMEOUT_MS = 1_500;

/** Reads the answers to the attempts of one request, and relays streams as they arrive. */
export default class AnswerReader {
  /** Id of the last stream event that was sent to the caller. */
  lastEventId: string | undefined;

  /** Content type of the stream that was begun. */
  private contentType: string | undefined;

  constructor(
    private readonly run: AnsweredRun,
    private readonly ports: ReaderPorts,
  ) {}

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
    const read = await readAnswerBody(response, this.ports.answerMemory);
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
    { serverId }: ServerView,
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
        this.run.exchange.sendHead(head);
      }
    };
    if (!this.run.binding.isUnrecorded) {
      sendHead();
    }
    idleTimeout.restart(STREAM_IDLE_TIMEOUT_MS);
    const end = await relayStream(response, this.run.exchange, {
      afterEventId: this.lastEventId,
      confirm: async () => (await this.run.binding.confirm()) && !this.run.answer.ended,
      onStart: sendHead,
      onEvents: (lastEventId) => {
        onOutput();
        this.run.binding.noteEvents();
        idleTimeout.restart(STREAM_IDLE_TIMEOUT_MS);
        this.lastEventId = lastEventId ?? this.lastEventId;
      },
    });
    if (end.type === 'complete' && !this.run.answer.ended) {
      this.run.exchange.finish();
      this.run.answer.end('answered', head.status, 'streamed');
      return { type: 'delivered' };
    }
    if (end.type === 'fragmented') {
      this.ports.directory.suspendFlooding(serverId);
    }
    return { type: 'ended', end: { type: 'unknown' }, resultsGone: false, unrecorded: end.type === 'refused' };
  }
}
