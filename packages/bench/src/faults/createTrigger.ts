import type { ServerPoint, StorePoint } from '@bergamotcove/standins';
import { CLAIMS_PREFIX } from './constants.js';
import createResendGate from './createResendGate.js';
import injectFault, { type Random } from './injectFault.js';
import type { Cell, Injection, Step } from './types.js';
import type { World } from './world/startWorld.js';

/** Observes the steps of one request and injects each fault when its step is reached. */
export interface Trigger {
  /** Sets the world, which is created after the observers; no fault is injected before. */
  attach(world: World): void;
  onServerPoint(point: ServerPoint): Promise<void>;
  onStorePoint(point: StorePoint): void;
  /** Reports a step that is observed on the side of the caller. */
  reach(step: Step): void;
  /** Faults that have not been injected yet. */
  pending(): readonly Injection[];
  /** Holds the request at its last stage until the resend has been sent. */
  holdForResend(breakCaller: () => void): void;
  releaseResend(): void;
  /** Number of requests that a server has received, from any caller. */
  received(serverId: string): number;
}

/** Pool whose server a fault affects at a step of the entry host: the pool that the request needs next. */
const POOL_BY_STEP: Readonly<Partial<Record<Step, string>>> = {
  accept: 'encoders',
  parse: 'encoders',
  claim: 'ledgers',
  record: 'ledgers',
  answer: 'ledgers',
};

const toStep = (point: ServerPoint): Step | undefined => {
  if (point.type === 'received') {
    return `send-${point.kind}` as Step;
  }
  if (point.type !== 'token') {
    return undefined;
  }
  if (point.tokenIndex === 0) {
    return 'first-byte';
  }
  if (point.tokenIndex === point.tokenCount) {
    return 'last-byte';
  }
  return point.tokenIndex === Math.floor((point.tokenCount ?? 0) / 2) ? 'middle-of-stream' : undefined;
};

class StepTrigger implements Trigger {
  private world: World | undefined;

  private readonly fired = new Set<Injection>();

  private readonly gate = createResendGate();

  /** Whether the answer to the call of the watched request has left its server. */
  private callAnswered = false;

  private readonly receivedBy = new Map<string, number>();

  constructor(
    private readonly cell: Cell,
    private readonly marker: string,
    private readonly random: Random,
  ) {}

  attach(world: World): void {
    this.world = world;
  }

  async onServerPoint(point: ServerPoint): Promise<void> {
    if (point.type === 'received') {
      this.receivedBy.set(point.serverId, this.received(point.serverId) + 1);
    }
    if (point.echo !== this.marker) {
      return;
    }
    if (point.type === 'executed' && point.kind === 'call') {
      // The answer is sent in this turn of the event loop; a claim that others write before it is not the record of
      // the call.
      setImmediate(() => {
        this.callAnswered = true;
      });
    }
    const lastStage = this.cell.operation === 'explain' ? 'generate' : 'call';
    if (point.type === 'received' && point.kind === lastStage) {
      await this.gate.pass();
    }
    const step = toStep(point);
    if (step !== undefined) {
      this.fire(step, point);
    }
  }

  onStorePoint(point: StorePoint): void {
    if (point.type === 'before' && point.writtenKeys.some((key) => key.startsWith(CLAIMS_PREFIX))) {
      this.fire(this.callAnswered ? 'record' : 'claim', undefined);
    }
  }

  reach(step: Step): void {
    this.fire(step, undefined);
  }

  pending(): readonly Injection[] {
    return this.cell.injections.filter((injection) => !this.fired.has(injection));
  }

  holdForResend(breakCaller: () => void): void {
    this.gate.hold(breakCaller);
  }

  received(serverId: string): number {
    return this.receivedBy.get(serverId) ?? 0;
  }

  releaseResend(): void {
    this.gate.open();
  }

  private fire(step: Step, point: ServerPoint | undefined): void {
    const { world } = this;
    if (world === undefined) {
      return;
    }
    this.pending()
      .filter((injection) => injection.step === step)
      .forEach((injection) => {
        this.fired.add(injection);
        const serverId = point?.serverId ?? this.findNextServer(world, step);
        injectFault(injection, world, {
          random: this.random,
          marker: this.marker,
          ...(serverId === undefined ? {} : { serverId }),
          ...(point?.type === 'token' && point.tokenIndex !== undefined ? { tokenIndex: point.tokenIndex } : {}),
        });
      });
  }

  private findNextServer(world: World, step: Step): string | undefined {
    const resent = this.cell.operation === 'explain' ? 'encoders' : 'ledgers';
    const pool = step === 'resend' ? resent : POOL_BY_STEP[step];
    return world.servers.find((server) => server.pool === pool)?.serverId;
  }
}

/**
 * Creates the trigger of one run.
 *
 * @param cell - faults and their steps
 * @param options - marker of the request and seeded random numbers
 * @returns the trigger
 */
export default function createTrigger(
  cell: Cell,
  options: { readonly marker: string; readonly random: Random },
): Trigger {
  return new StepTrigger(cell, options.marker, options.random);
}
