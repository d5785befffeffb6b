import { computeIdleTimeoutMs, type ServerView } from '@bergamotcove/decide';
import { toError } from '@bergamotcove/errors';
import { reportReaderFault } from '@bergamotcove/log';
import { isReaderFault } from '@bergamotcove/transport';
import type { OpenedAttempt } from '../servers/openAttempt.js';
import type AnswerReader from './AnswerReader.js';
import type { AnsweredRun } from './AnswerReader.js';
import type { WorkEstimate } from './estimateWork.js';
import type { ForwardPorts } from './ForwardPorts.js';
import formatAttemptHeaders from './formatAttemptHeaders.js';
import isRepeatable from './isRepeatable.js';
import openChecked from './openChecked.js';
import { DEFAULT_ANSWER_MS } from './Reservation.js';
import type ServerFinder from './ServerFinder.js';
import type { FoundServer } from './ServerFinder.js';
import startIdleTimeout, { type IdleTimeout } from './startIdleTimeout.js';
import trackAttempt, { classifyEnd, type TrackedAttempt } from './trackAttempt.js';
import type { AttemptResult } from './types.js';

/** A server for an attempt, and the finder that holds the permission to send to it. */
export interface AttemptTarget extends FoundServer {
  readonly finder: ServerFinder;
}

/** The request whose attempts are sent, with its state. */
export interface AttemptedRun extends AnsweredRun {
  readonly pool: string;
  readonly work: WorkEstimate;
  readonly reader: AnswerReader;
  /** Aborted when the request has ended. */
  readonly signal: AbortSignal;
  /**
   * Finds a server that can take the request over from a silent one; undefined when there is none. The signal is aborted
   * when the silent server sends data again.
   */
  readonly findSuccessor: (silent: ServerView, silence: AbortSignal) => Promise<AttemptTarget | undefined>;
  /** Called just before a successor is sent: charges the retry to the budget, or returns false to stay. */
  readonly mayMove: () => boolean;
}

/** An attempt whose server is silent, and the end of the silence. */
interface SilentAttempt {
  readonly attempt: Attempt;
  readonly silence: AbortSignal;
}

/** Time after sending by which a server has fetched the stage results that the attempt names. */
const RESULT_FETCH_MS = 80;

/**
 * One attempt of a request at a server. When the server is silent for long, the attempt looks for another server that
 * takes the request over, and goes on until the request has been sent there.
 */
export default class Attempt {
  /** Whether the server has begun to answer. */
  isAnswering = false;

  /** Attempt that has taken over from this one. */
  successor: Attempt | undefined;

  readonly result: Promise<AttemptResult>;

  /** Monotonic time at which the request was sent; undefined before. */
  private sentAtMs: number | undefined;

  private readonly idleTimeout: IdleTimeout;

  private readonly tracked: TrackedAttempt;

  private readonly opened: ReturnType<typeof openChecked>;

  /** Ends when nothing more of the answer is passed on. */
  private readonly reading: Promise<AttemptResult>;

  constructor(
    private readonly target: AttemptTarget,
    private readonly run: AttemptedRun,
    private readonly ports: ForwardPorts,
    /** Attempt from which this one takes over when it is sent, unless the silence has ended. */
    private readonly replaced?: SilentAttempt,
  ) {
    const { work, request } = run;
    const { fingerprint, partKeys } = request;
    this.tracked = trackAttempt(this.server, { tokens: work.tokens, fingerprint, partKeys }, ports);
    this.idleTimeout = this.startTimeout();
    this.opened = this.open();
    if (replaced === undefined) {
      run.record.noteSend(this.server);
    }
    this.reading = this.read();
    this.result = this.finish();
  }

  get server(): ServerView {
    return this.target.server;
  }

  /** Sends the request; never rejects. */
  private async open(): ReturnType<typeof openChecked> {
    try {
      return await this.sendRequest();
    } catch (cause) {
      this.abandon(cause);
      const failure = { type: this.sentAtMs === undefined ? 'not-sent' : 'connection-lost' } as const;
      return { opened: { type: 'failed', failure, refused: false }, isReplaced: false };
    }
  }

  /** Ends the attempt after an exception, which concerns no other one. */
  private abandon(cause: unknown): void {
    const { requestId } = this.run.request;
    const { serverId } = this.server;
    this.idleTimeout.abandon();
    // The HTTP client has reported those of its own readers.
    if (!isReaderFault(cause)) {
      reportReaderFault(this.ports.logger, toError(cause), { requestId, serverId });
    }
  }

  private sendRequest(): ReturnType<typeof openChecked> {
    const { target, run, replaced, idleTimeout } = this;
    const { request, record, binding, exchange, answer } = run;
    return openChecked(
      {
        server: target.server,
        request,
        binding,
        // On a kept connection, an earlier answer that the server repeats would bear the id of this attempt too.
        freshConnection: record.hasSentTo(target.server),
        formatHeaders: () => this.formatHeaders(),
        signal: AbortSignal.any([run.signal, idleTimeout.signal]),
        onSending: () => this.noteSending(),
        maySend: () =>
          exchange.isOpen &&
          !answer.ended &&
          target.finder.maySend(target.server) &&
          (replaced === undefined || (!replaced.silence.aborted && run.mayMove())),
      },
      this.ports,
    );
  }

  private noteSending(): void {
    const { record, results } = this.run;
    const { clock } = this.ports;
    this.sentAtMs = clock.monotonicMs();
    if (this.replaced !== undefined) {
      record.noteSend(this.server);
      this.replaced.attempt.moveTo(this);
    }
    record.noteSending();
    clock.schedule(RESULT_FETCH_MS, () => results.markEvictable());
  }

  private moveTo(successor: Attempt): void {
    this.successor = successor;
    this.idleTimeout.abandon();
  }

  /** Reads the answer; never rejects. */
  private async read(): Promise<AttemptResult> {
    try {
      return await this.readAnswer();
    } catch (cause) {
      this.abandon(cause);
      // The run may be counted already; one too many only makes another attempt less likely.
      this.run.record.noteRun(this.sentAtMs !== undefined);
      return { type: 'ended', end: { type: 'unknown' }, resultsGone: false };
    } finally {
      this.isAnswering = false;
      if (this.sentAtMs !== undefined) {
        this.run.record.noteAttemptEnd();
      }
    }
  }

  /** Reads the answer; a successor waits until the attempt from which it takes over passes nothing on any more. */
  private async readAnswer(): Promise<AttemptResult> {
    const { opened } = await this.opened;
    if (this.replaced !== undefined) {
      if (this.sentAtMs === undefined) {
        return { type: 'ended', end: { type: 'not-run' }, resultsGone: false };
      }
      await this.replaced.attempt.reading;
    }
    this.isAnswering = opened.type === 'head' && !opened.facts.notRun;
    if (this.isAnswering) {
      this.tracked.noteAnswering();
    }
    const { idleTimeout, tracked } = this;
    const sentAtMs = this.sentAtMs ?? this.ports.clock.monotonicMs();
    return this.run.reader.read(this.server, opened, { idleTimeout, onOutput: tracked.noteOutput, sentAtMs });
  }

  /** Waits for the result and records the end; never rejects. */
  private async finish(): Promise<AttemptResult> {
    const { opened, isReplaced } = await this.opened;
    const result = await this.reading;
    try {
      await this.noteEnd(opened, result);
    } catch (cause) {
      this.abandon(cause);
    }
    // Nothing was sent to a server that has started again, so the next attempt is no retry.
    const retryReserved = isReplaced || this.target.finder.isExpired;
    return result.type === 'ended' ? { ...result, retryReserved, silent: this.successor !== undefined } : result;
  }

  private async noteEnd(opened: OpenedAttempt, result: AttemptResult): Promise<void> {
    const { answer, reservation } = this.run;
    this.idleTimeout.close();
    const isUnsentSuccessor = this.replaced !== undefined && this.sentAtMs === undefined;
    const silent = this.successor !== undefined;
    if (!silent && !isUnsentSuccessor) {
      reservation.noteAttemptEnd(opened.type === 'failed' && !answer.ended ? 'failed' : 'ended');
    }
    const requestEnded = answer.ended || (isUnsentSuccessor && this.replaced?.silence.aborted === true);
    await this.tracked.end(classifyEnd({ opened, result, timedOut: silent, requestEnded }));
  }

  /** Starts the idle timeout. It applies only to streams that another engine may run again. */
  private startTimeout(): IdleTimeout {
    const { request, record, reader } = this.run;
    const { expectedFirstTokenMs = DEFAULT_ANSWER_MS } = this.target;
    const { route } = request;
    const isMovable = route.kind === 'stream' && isRepeatable(route) && reader.position.canContinue;
    const mayRepeat = isMovable && record.runs + 1 < route.maxAttempts;
    return startIdleTimeout({
      clock: this.ports.clock,
      limitMs: mayRepeat ? computeIdleTimeoutMs(expectedFirstTokenMs) : undefined,
      onSilent: async (silence) => {
        const target = await this.run.findSuccessor(this.server, silence);
        if (target !== undefined && !silence.aborted) {
          await new Attempt(target, this.run, this.ports, { attempt: this, silence }).opened;
        }
      },
    });
  }

  private formatHeaders(): readonly string[] {
    const { request, results, reader } = this.run;
    return formatAttemptHeaders(
      request.headers,
      {
        serverId: this.server.serverId,
        remainingMs: request.deadlineAtMs - this.ports.clock.monotonicMs(),
        organisation: request.organisation?.name,
        results: results.last,
        lastEventId: reader.position.lastEventId,
        priority: request.priority,
      },
      this.ports.format,
    );
  }
}
