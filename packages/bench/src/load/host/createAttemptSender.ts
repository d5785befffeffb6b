import type { PoolBook } from '@bergamotcove/decide';
import { BYTES_PER_MESSAGE, BYTES_PER_TOKEN, ONE_WAY_MS, PREFILL_TOKENS_PER_TOKEN } from '../constants.js';
import type { ServerJob, ServerModel } from '../model/createServerModel.js';
import type { LoadStage } from '../types.js';
import type { Estimates } from './createEstimates.js';
import type { AttemptState, LoadWorld, RunState } from './types.js';

/** What an attempt needs. */
export interface AttemptOrder {
  readonly run: RunState;
  readonly stage: LoadStage;
  readonly server: ServerModel;
  readonly hedge: boolean;
  readonly long: boolean;
  readonly tokens: number;
  readonly crossRegion: boolean;
}

/** Sends attempts and cancels them. */
export interface AttemptSender {
  send(order: AttemptOrder): AttemptState;
  /** Cancels an attempt that lost; its work counts as extra unless another attempt goes on where it stopped. */
  cancel(attempt: AttemptState, options?: { readonly resumed: boolean }): void;
}

/** Options of {@link createAttemptSender}. */
export interface AttemptSenderOptions {
  readonly world: LoadWorld;
  readonly place: { readonly failureDomain: string; readonly region: string };
  readonly book: PoolBook;
  readonly estimates: Estimates;
  readonly onAnswered: (attempt: AttemptState) => void;
  readonly onLost: (attempt: AttemptState) => void;
}

/** Engine priority of long work; short work overtakes it in the engine's queue. */
const LONG_PRIORITY = 1;

class Sender implements AttemptSender {
  constructor(private readonly options: AttemptSenderOptions) {}

  send(order: AttemptOrder): AttemptState {
    const { world, book } = this.options;
    const nowMs = world.events.nowMs();
    const { run, stage, server, long, tokens } = order;
    const attempt: AttemptState = {
      run,
      stage,
      server,
      hedge: order.hedge,
      long,
      crossRegion: order.crossRegion,
      job: this.createJob(order, () => attempt),
      sentAtMs: nowMs,
      prefillTokens: stage === 'generate' ? this.options.estimates.prefillTokens(run.arrival, run.arrivedTokens) : 0,
      resumeTokens: stage === 'generate' ? run.arrivedTokens : 0,
      closed: false,
      submitted: false,
      bookedTokens: tokens,
      seenTokens: 0,
      seenAtMs: nowMs,
      paceMs: 0,
    };
    book.note(server.description.serverId, { type: 'sent', tokens, long }, nowMs);
    book.noteSize(stage, tokens);
    const bytes = run.arrival.operation.inputBytes + BYTES_PER_MESSAGE;
    const linkMs = order.crossRegion ? world.link.send(this.options.place.region, bytes) : 0;
    world.events.at(nowMs + this.oneWayMs(server) + linkMs, () => this.arrive(attempt));
    return attempt;
  }

  cancel(cancelled: AttemptState, options = { resumed: false }): void {
    const attempt = cancelled;
    if (!attempt.closed) {
      if (!options.resumed) {
        this.options.world.noteExtraWork(attempt.stage, attempt.server.workDone(attempt.job));
      }
      this.close(attempt);
      attempt.server.cancel(attempt.job);
    }
  }

  private createJob(order: AttemptOrder, attempt: () => AttemptState): ServerJob {
    const { run, stage } = order;
    const { operation, organisation } = run.arrival;
    const generate = stage === 'generate';
    return {
      prefillTokens: generate ? this.options.estimates.prefillTokens(run.arrival, run.arrivedTokens) : 0,
      prefixTokens: generate ? operation.prefixTokens / PREFILL_TOKENS_PER_TOKEN : 0,
      ...(generate && operation.prefixTokens > 0 ? { prefixKey: `${organisation}/${operation.name}` } : {}),
      outputTokens: generate
        ? run.arrival.outputTokens - run.arrivedTokens
        : (run.arrival.stageFactors[run.stageIndex] as number),
      priority: this.options.world.policy.longLimit && order.long ? LONG_PRIORITY : 0,
      onDone: () => this.reply(attempt()),
      onLost: () => this.lose(attempt()),
    };
  }

  private oneWayMs(server: ServerModel): number {
    const { place } = this.options;
    const { failureDomain, region } = server.description;
    if (failureDomain === place.failureDomain) {
      return ONE_WAY_MS.failureDomain;
    }
    return region === place.region ? ONE_WAY_MS.region : ONE_WAY_MS.otherRegion;
  }

  private arrive(arrived: AttemptState): void {
    const attempt = arrived;
    if (attempt.closed) {
      return;
    }
    if (attempt.server.crashed) {
      this.lose(attempt);
      return;
    }
    attempt.submitted = true;
    attempt.server.submit(attempt.job);
  }

  private reply(attempt: AttemptState): void {
    const { world } = this.options;
    const { server, run } = attempt;
    const tokens = attempt.stage === 'generate' ? run.arrival.outputTokens - attempt.resumeTokens : 0;
    const bytes = BYTES_PER_MESSAGE + tokens * BYTES_PER_TOKEN;
    const linkMs = attempt.crossRegion ? world.link.send(server.description.region, bytes) : 0;
    world.events.at(world.events.nowMs() + this.oneWayMs(server) + linkMs, () => {
      if (!attempt.closed) {
        this.answer(attempt);
      }
    });
  }

  private answer(attempt: AttemptState): void {
    const { world, book } = this.options;
    const nowMs = world.events.nowMs();
    const { serverId } = attempt.server.description;
    this.close(attempt);
    book.note(serverId, { type: 'answered' }, nowMs);
    if (attempt.stage !== 'generate') {
      book.note(serverId, { type: 'progress', tokens: 0, elapsedMs: nowMs - attempt.sentAtMs }, nowMs);
    }
    if (attempt.hedge) {
      // The hedge repeated the prefill; the rest of its work replaces work of the first attempt.
      world.noteExtraWork(attempt.stage, attempt.prefillTokens);
    }
    this.options.onAnswered(attempt);
  }

  private lose(attempt: AttemptState): void {
    const { world, book } = this.options;
    if (attempt.closed) {
      return;
    }
    this.close(attempt);
    book.note(attempt.server.description.serverId, { type: 'failed' }, world.events.nowMs());
    this.options.onLost(attempt);
  }

  private close(closed: AttemptState): void {
    const attempt = closed;
    attempt.closed = true;
    const { book, world } = this.options;
    const event = { type: 'done', tokensLeft: attempt.bookedTokens, long: attempt.long } as const;
    book.note(attempt.server.description.serverId, event, world.events.nowMs());
  }
}

/** Creates the sender of one host. */
export default function createAttemptSender(options: AttemptSenderOptions): AttemptSender {
  return new Sender(options);
}
