import { isDeepStrictEqual } from 'node:util';
import checkLeaving from './checkLeaving.js';
import checkReply, { checkTokens, toOutcome } from './checkReply.js';
import { MAX_POISON_CRASHES, PAUSE_MS, SERVER_DOWN_MS, SETTLE_MS } from './constants.js';
import createRandom from './createRandom.js';
import createTrigger, { type Trigger } from './createTrigger.js';
import { expectVariant } from './expectOutcomes.js';
import { healWorld } from './injectFault.js';
import sendCallerRequest, { type CallerCall, type CallerReply } from './sendCallerRequest.js';
import type { Cell, CellOutcome, CellResult, Fault, Protection, Variant } from './types.js';
import startWorld, { type World, type WorldHost } from './world/startWorld.js';

/** Options of {@link runCell}. */
export interface RunOptions {
  readonly seed: number;
  /** Protection that is turned off in this process. */
  readonly without?: Protection;
}

/** Drain settings; the balancer lag is longer than the latest of LATE_ARRIVALS_MS. */
const DRAIN = { balancerLagMs: 250, timeoutMs: 5_000 };
const DRAIN_WITHOUT_WAIT = { balancerLagMs: 0, timeoutMs: 0 };

/** Delays after which the load balancer still sends a request to the draining host. */
const LATE_ARRIVALS_MS = [60, 140];

/** Wait for poison suspicions to reach the other hosts of a failure domain, with the summaries of the next second. */
const POISON_SPREAD_MS = 1_300;

/** Faults that an entry host cannot tell from a crash of the server. */
const CRASH_LIKE_FAULTS: readonly Fault[] = ['server-crash', 'reset', 'reply-lost', 'poison', 'swapped'];

const VARIANTS: readonly Variant[] = ['plain', 'plain', 'status-query', 'check-keys'];

/** Faults that partition two hosts from each other, by the sorted ids of the hosts. */
const CUT_FAULTS_BY_PAIR: Readonly<Record<string, readonly Fault[]>> = {
  'host-0/host-1': ['cut-peer', 'one-way-cut'],
  'host-0/host-2': ['cut-domain'],
  'host-1/host-2': ['cut-domain'],
};

const toPairName = (hostId: string, otherId: string): string => [hostId, otherId].sort().join('/');

const delay = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

class CellRun {
  private readonly outcomes: CellOutcome[] = [];

  private readonly violations: string[] = [];

  private readonly replies: CallerReply[] = [];

  private companionRequests: readonly Promise<void>[] = [];

  constructor(
    private readonly cell: Cell,
    private readonly world: World,
    private readonly trigger: Trigger,
    private readonly marker: string,
    private readonly allowed: readonly CellOutcome[],
  ) {}

  async run(): Promise<Pick<CellResult, 'outcomes' | 'violations'>> {
    await this.sendFirst();
    await Promise.all(this.companionRequests);
    if (this.has('pause')) {
      await delay(PAUSE_MS);
    }
    if (this.has('poison')) {
      await delay(POISON_SPREAD_MS);
    }
    this.trigger.pending().forEach(({ step }) => {
      if (this.cell.injections.length === 1) {
        this.violations.push(`the request did not reach the step ${step}`);
      }
    });
    await this.resend(this.host(1));
    this.checkCrashes();
    this.violations.push(...(await checkLeaving(this.world, this.trigger, this.cell)));
    healWorld(this.world);
    // Crashed servers restart by themselves.
    await delay(this.world.servers.some(({ server }) => server.crashes() > 0) ? SERVER_DOWN_MS : 0);
    const last = await this.resend(this.host(2));
    this.checkLast(last);
    await this.checkExecutions();
    return { outcomes: this.outcomes, violations: this.violations };
  }

  private has(fault: Fault): boolean {
    return this.cell.injections.some((injection) => injection.fault === fault);
  }

  private host(index: number): WorldHost {
    return this.world.hosts[index] as WorldHost;
  }

  private executions(marker = this.marker): number {
    return this.world.executions.get(marker) ?? 0;
  }

  private createCall(host: WorldHost, marker = this.marker): CallerCall {
    return { port: host.callers.port, operation: this.cell.operation, marker, idempotencyKey: marker };
  }

  /** Sends the request, and resends it at once through another host when a fault is injected into the resend. */
  private async sendFirst(): Promise<void> {
    const resends = this.cell.injections.some(({ step }) => step === 'resend');
    const first = this.host(0);
    if (resends) {
      this.trigger.holdForResend(() => {
        first.callers.setMode('refuse');
        first.callers.setMode('pass');
      });
    }
    this.watchAnswer(first);
    if (this.has('swapped')) {
      this.startCompanion(0);
    }
    if (this.has('cut-peer') && !resends) {
      this.startConcurrentDuplicate();
    }
    if (this.has('drain')) {
      LATE_ARRIVALS_MS.forEach((delayMs) => this.startCompanion(delayMs));
    }
    const reply = await sendCallerRequest({
      ...this.createCall(first),
      onAccepted: async () => this.trigger.reach('accept'),
      onSent: async () => this.trigger.reach('parse'),
    });
    if (!resends) {
      await this.checkAndRecordReply(reply, { mayBreak: this.has('entry-crash') || this.has('pause') });
      this.checkAllowed(reply);
      return;
    }
    this.replies.push(reply);
    await this.sendResentRequest();
  }

  /** Resends through another host, which does not have the stream, so the resend requests it from its start. */
  private async sendResentRequest(): Promise<void> {
    const reply = await sendCallerRequest({
      ...this.createCall(this.host(1)),
      onSent: async () => {
        this.trigger.reach('resend');
        this.trigger.releaseResend();
      },
    });
    await this.checkAndRecordReply(reply, { mayBreak: false });
    this.checkAllowed(reply);
  }

  private checkAllowed(reply: CallerReply): void {
    const outcome = toOutcome(reply);
    if (!this.allowed.includes(outcome)) {
      const { end } = reply;
      const reason = end.type === 'refused' ? ` (${end.title})` : '';
      this.violations.push(`the request ended as ${outcome}${reason}; allowed: ${this.allowed.join(', ')}`);
    }
  }

  /** Reports the step `answer` when the last part of the answer arrives at the link to the caller. */
  private watchAnswer(host: WorldHost): void {
    host.callers.onReply((chunk) => {
      if (this.cell.operation === 'post-entry' || chunk.includes('event: final')) {
        this.trigger.reach('answer');
      }
    });
  }

  /** Sends and checks the request of another caller on the first host. */
  private startCompanion(delayMs: number): void {
    const marker = `${this.marker}-companion-${this.companionRequests.length}`;
    const send = async (): Promise<void> => {
      await delay(delayMs);
      const reply = await sendCallerRequest({
        ...this.createCall(this.host(0), marker),
        port: this.host(0).process.callersPort,
      });
      const { operation } = this.cell;
      const mayBreak = this.has('entry-crash') || this.has('pause');
      this.violations.push(
        ...checkReply(reply, { operation, marker, mayBreak }).map((text) => `companion after ${delayMs} ms: ${text}`),
      );
      if (this.executions(marker) > 1) {
        this.violations.push(`the companion's call ran ${this.executions(marker)} times`);
      }
    };
    this.companionRequests = [...this.companionRequests, send()];
  }

  /**
   * Sends the same request through a second host that cannot reach the first. Both read the log before either claims,
   * so only the sequence numbers of the log prevent both claims from being granted.
   */
  private startConcurrentDuplicate(): void {
    const send = async (): Promise<void> => {
      await this.checkAndRecordReply(await sendCallerRequest(this.createCall(this.host(1))), { mayBreak: false });
    };
    this.companionRequests = [...this.companionRequests, send()];
  }

  private async resend(host: WorldHost): Promise<CallerReply> {
    const reply = await sendCallerRequest(this.createCall(host));
    await this.checkAndRecordReply(reply, { mayBreak: false });
    return reply;
  }

  /** Checks one reply by itself and against the execution counts and the earlier replies. */
  private async checkAndRecordReply(reply: CallerReply, options: { readonly mayBreak: boolean }): Promise<void> {
    const outcome = toOutcome(reply);
    const { operation } = this.cell;
    const position = `reply ${this.outcomes.length}`;
    this.replies.push(reply);
    this.outcomes.push(outcome);
    const problems = [...checkReply(reply, { operation, marker: this.marker, ...options })];
    if (operation === 'explain') {
      problems.push(...checkTokens(reply.tokens, this.marker));
    } else {
      problems.push(...this.checkSameOutput(reply));
      if (outcome === 'not-run') {
        await delay(SETTLE_MS);
        if (this.executions() > 0) {
          problems.push('the request is refused with not-run, but its call ran');
        }
      }
    }
    this.violations.push(...problems.map((text) => `${position}: ${text}`));
  }

  private checkSameOutput(reply: CallerReply): readonly string[] {
    const first = this.replies.find(({ end }) => end.type === 'answered');
    if (reply.end.type !== 'answered' || first?.end.type !== 'answered') {
      return [];
    }
    return isDeepStrictEqual(reply.end.output, first.end.output) ? [] : ['the answer differs from the first answer'];
  }

  /** Checks that after all faults have ended an idempotent request is answered and a known answer is given again. */
  private checkLast(last: CallerReply): void {
    const outcome = toOutcome(last);
    if (this.cell.operation === 'explain') {
      if (outcome !== 'answered' && !(this.mayBePoisoned() && outcome === 'not-run')) {
        this.violations.push(`after the faults the request ended as ${JSON.stringify(last.end)}`);
      }
      return;
    }
    const answered = this.replies.some(({ end }) => end.type === 'answered');
    const hostLost = this.has('entry-crash') || this.has('pause');
    if (answered && !hostLost && outcome !== 'answered') {
      this.violations.push(`after the faults a known answer was withheld: ${JSON.stringify(last.end)}`);
    }
  }

  /** Two server crashes during one request make it a poison request, whatever caused the crashes. */
  private mayBePoisoned(): boolean {
    return (
      this.has('poison') || this.cell.injections.filter(({ fault }) => CRASH_LIKE_FAULTS.includes(fault)).length > 1
    );
  }

  private checkCrashes(): void {
    if (this.cell.injections.length > 1 || !this.has('poison')) {
      return;
    }
    const crashes = this.world.servers.reduce((sum, { server }) => sum + server.crashes(), 0);
    if (crashes > MAX_POISON_CRASHES) {
      this.violations.push(`the request crashed ${crashes} servers, more than ${MAX_POISON_CRASHES}`);
    }
  }

  private async checkExecutions(): Promise<void> {
    await delay(SETTLE_MS);
    const count = this.executions();
    if (count > 1) {
      this.violations.push(`the call ran ${count} times`);
    }
    if (this.cell.operation === 'post-entry' && this.outcomes.includes('answered') && count === 0) {
      this.violations.push('the request was answered, but its call did not run');
    }
  }
}

/**
 * Runs one cell in its own world.
 *
 * @param cell - faults, their steps and the allowed outcomes
 * @param options - seed; a protection that is turned off
 * @returns outcomes and violations
 */
export default async function runCell(cell: Cell, options: RunOptions): Promise<CellResult> {
  const startedAtMs = performance.now();
  const random = createRandom(options.seed, cell.name);
  // The first seed uses plain servers, on which unknown outcomes stay unknown.
  const variant = options.seed === 1 ? 'plain' : (VARIANTS[Math.floor(random() * VARIANTS.length)] as Variant);
  const marker = `m${Math.floor(random() * 1e9).toString(36)}`;
  const trigger = createTrigger(cell, { marker, random });
  const faults = cell.injections.map(({ fault }) => fault);
  const world = await startWorld({
    variant,
    separateFirstHost: faults.includes('pause'),
    singleServers: faults.includes('swapped'),
    linkServers: faults.includes('cut-domain') || faults.includes('entry-crash'),
    isPeerCut: (hostId, otherId) =>
      CUT_FAULTS_BY_PAIR[toPairName(hostId, otherId)]?.some((fault) => faults.includes(fault)) === true,
    drain: options.without === 'drain-wait' ? DRAIN_WITHOUT_WAIT : DRAIN,
    onServerPoint: trigger.onServerPoint.bind(trigger),
    onStorePoint: trigger.onStorePoint.bind(trigger),
  });
  trigger.attach(world);
  const result = await new CellRun(cell, world, trigger, marker, expectVariant(cell.allowed, variant)).run();
  await world.close();
  return { cell, seed: options.seed, ...result, durationMs: performance.now() - startedAtMs };
}
