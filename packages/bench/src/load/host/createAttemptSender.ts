import type { PoolTracker } from '@bergamotcove/decide';
import { createAttemptMonitor, type AttemptMonitor, type PrefixHints, type SlowVerdict } from '@bergamotcove/entry';
import { BYTES_PER_MESSAGE, BYTES_PER_TOKEN, ONE_WAY_MS, PREFILL_TOKENS_PER_TOKEN } from '../constants.js';
import type { ServerJob, ServerModel } from '../model/createServerModel.js';
import type { HostEstimates } from './createHostEstimates.js';
import type { AttemptState, LoadWorld, QueueEntry } from './types.js';

/** What an attempt needs. */
export interface AttemptOrder {
  readonly entry: QueueEntry;
  readonly server: ServerModel;
  readonly crossRegion: boolean;
}

/** Sends attempts and cancels them. */
export interface AttemptSender {
  send(order: AttemptOrder): AttemptState;
  /** Cancels an attempt; its work counts as extra unless another attempt goes on where it stopped. */
  cancel(attempt: AttemptState, options?: { readonly resumed: boolean }): void;
}

/** Options of {@link createAttemptSender}. */
export interface AttemptSenderOptions {
  readonly world: LoadWorld;
  readonly place: { readonly failureDomain: string; readonly region: string };
  readonly book: PoolTracker;
  readonly hostEstimates: HostEstimates;
  readonly prefixes: PrefixHints;
  readonly onTokens: (attempt: AttemptState) => void;
  readonly onSlow: (attempt: AttemptState, verdict: Exclude<SlowVerdict, 'none'>) => void;
  readonly onAnswered: (attempt: AttemptState) => void;
  readonly onLost: (attempt: AttemptState) => void;
}

/** Interval at which the daemon's dispatcher checks an attempt in flight. */
const FOLLOW_MS = 50;
const HEDGE_QUANTILE = 0.95;
/** Engine priority of long work; short work overtakes it in the engine's queue. */
const LONG_PRIORITY = 1;

class Sender implements AttemptSender {
  constructor(private readonly options: AttemptSenderOptions) {}

  send(order: AttemptOrder): AttemptState {
    const { world } = this.options;
    const { entry, server, crossRegion } = order;
    const { run, stage } = entry;
    const attempt: AttemptState = {
      run,
      stage: stage.kind,
      server,
      crossRegion,
      job: this.createJob(order, () => attempt),
      follower: this.createFollower(order),
      resumeTokens: stage.kind === 'generate' ? run.arrivedTokens : 0,
      closed: false,
      submitted: false,
      hedged: false,
      seenTokens: 0,
    };
    attempt.follower.sent();
    if (attempt.resumeTokens > 0) {
      // A moved stream repeats the prefill of its input and of the tokens that have arrived.
      world.noteExtraWork(stage.kind, attempt.job.prefillTokens);
    }
    const bytes = run.arrival.operation.inputBytes + BYTES_PER_MESSAGE;
    const linkMs = crossRegion ? world.link.send(this.options.place.region, bytes) : 0;
    world.events.at(world.events.nowMs() + this.oneWayMs(server) + linkMs, () => this.arrive(attempt));
    this.scheduleCheck(attempt);
    return attempt;
  }

  cancel(cancelled: AttemptState, options = { resumed: false }): void {
    const attempt = cancelled;
    if (attempt.closed) {
      return;
    }
    if (!options.resumed) {
      this.options.world.noteExtraWork(attempt.stage, attempt.server.workDone(attempt.job));
    }
    Sender.close(attempt);
    attempt.server.cancel(attempt.job);
  }

  private createFollower({ entry, server }: AttemptOrder): AttemptMonitor {
    const { world, book, hostEstimates, prefixes } = this.options;
    const nowMs = (): number => world.events.nowMs();
    return createAttemptMonitor({
      clock: { monotonicMs: nowMs },
      directory: {
        note: (serverId, event) => book.note(serverId, event, nowMs()),
        noteSize: (pool, tokens) => book.noteSize(pool, tokens),
        msPerToken: () => book.msPerToken(entry.stage.kind, world.listServers(entry.stage.kind), nowMs()),
      },
      estimates: hostEstimates.estimates,
      prefixes,
      plan: entry.run.plan,
      stage: entry.stage,
      serverId: server.description.serverId,
      tokens: entry.tokens,
      resumeTokenIndex: entry.run.arrivedTokens,
      long: entry.long,
      hedgeQuantile: HEDGE_QUANTILE,
    });
  }

  private createJob({ entry }: AttemptOrder, attempt: () => AttemptState): ServerJob {
    const { run, stage } = entry;
    const { operation, organisation } = run.arrival;
    const generate = stage.kind === 'generate';
    const longLast = this.options.world.policy.longLimit && entry.long;
    return {
      prefillTokens: generate ? this.options.hostEstimates.prefillTokens(run.arrival, run.arrivedTokens) : 0,
      prefixTokens: generate ? operation.prefixTokens / PREFILL_TOKENS_PER_TOKEN : 0,
      ...(generate && operation.prefixTokens > 0 ? { prefixKey: `${organisation}/${operation.name}` } : {}),
      outputTokens: generate
        ? run.arrival.outputTokens - run.arrivedTokens
        : (run.arrival.stageFactors[run.stageIndex] as number),
      priority: longLast ? LONG_PRIORITY : 0,
      ...(generate ? { onFirstToken: () => this.deliverFirst(attempt()) } : {}),
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

  private scheduleCheck(attempt: AttemptState): void {
    const { events } = this.options.world;
    events.at(events.nowMs() + FOLLOW_MS, () => {
      if (attempt.closed) {
        return;
      }
      this.deliver(attempt, attempt.server.progress(attempt.job));
      const verdict = attempt.follower.check();
      if (verdict !== 'none') {
        this.options.onSlow(attempt, verdict);
      }
      this.scheduleCheck(attempt);
    });
  }

  private deliverFirst(attempt: AttemptState): void {
    const { events } = this.options.world;
    events.at(events.nowMs() + this.oneWayMs(attempt.server), () => this.deliver(attempt, 1));
  }

  /** Tokens of the stream reached the host, the given number in total. */
  private deliver(delivered: AttemptState, tokens: number): void {
    const attempt = delivered;
    const fresh = tokens - attempt.seenTokens;
    if (attempt.closed || attempt.stage !== 'generate' || fresh <= 0) {
      return;
    }
    attempt.seenTokens = tokens;
    attempt.follower.tokensArrived(fresh);
    this.options.onTokens(attempt);
  }

  private reply(attempt: AttemptState): void {
    const { world } = this.options;
    const { server, run } = attempt;
    const tokens = attempt.stage === 'generate' ? run.arrival.outputTokens - attempt.resumeTokens : 0;
    const bytes = BYTES_PER_MESSAGE + tokens * BYTES_PER_TOKEN;
    const linkMs = attempt.crossRegion ? world.link.send(server.description.region, bytes) : 0;
    world.events.at(world.events.nowMs() + this.oneWayMs(server) + linkMs, () => {
      if (!attempt.closed) {
        this.deliver(attempt, tokens);
        attempt.follower.answered();
        Sender.close(attempt);
        this.options.onAnswered(attempt);
      }
    });
  }

  private lose(attempt: AttemptState): void {
    const { world, book } = this.options;
    if (attempt.closed) {
      return;
    }
    book.note(attempt.server.description.serverId, { type: 'failed' }, world.events.nowMs());
    Sender.close(attempt);
    this.options.onLost(attempt);
  }

  private static close(closed: AttemptState): void {
    const attempt = closed;
    attempt.closed = true;
    attempt.follower.closed();
  }
}

/** Creates the sender of one host. */
export default function createAttemptSender(options: AttemptSenderOptions): AttemptSender {
  return new Sender(options);
}
