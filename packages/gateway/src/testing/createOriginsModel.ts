import { createManualClock } from '@bergamotcove/clock';
import type { StreamOrigin } from '@bergamotcove/decide';
import createStreamOrigins, { type StreamOrigins, type StreamOriginsOptions } from '../streams/createStreamOrigins.js';
import { formatAgreed } from '../streams/originTexts.js';

const STEP_MS = 1_000;
const SETTLE_TURNS = 20;

/** Options of {@link createOriginsModel}. */
export interface OriginsModelOptions {
  /** Origin that the host knows as the agreed one of the route. */
  readonly agreed: StreamOrigin;
  /** Whether the store holds it too. */
  readonly isStored: boolean;
  /** Origin of the servers that the store lists. */
  readonly stored: StreamOrigin;
  readonly timeoutMs: number;
}

/** A host, one route whose streams may be resumed, and a store, on a manual clock. */
export interface OriginsModel {
  /** Origins of the servers that the host knows. */
  listed: readonly StreamOrigin[];
  timeoutMs: number;
  /** Whether the host proposes the agreed origins. */
  isOwner: boolean;
  /** Lets seconds pass, with all that is due in them. */
  advance(seconds: number): Promise<void>;
  /** Finds the origin of a stream without a record, as a host that has just started. */
  findUnrecorded(): ReturnType<StreamOrigins['find']>;
  close(): void;
}

/** Lets the promises that are due settle. */
const settle = async (turns: number): Promise<void> => {
  if (turns > 0) {
    await Promise.resolve();
    await settle(turns - 1);
  }
};

/** Creates a model of the agreement on origins. */
export default function createOriginsModel({ agreed, isStored, stored, timeoutMs }: OriginsModelOptions): OriginsModel {
  const clock = createManualClock();
  const known = formatAgreed(new Map([['chat', agreed]]));
  let value = isStored ? known : undefined;
  let model: OriginsModel;
  const readRoute = () => ({
    name: 'chat',
    kind: 'stream',
    resumable: true,
    timeoutMs: model.timeoutMs,
    pools: [{ pool: agreed.pool, weight: 1 }],
  });
  const options = {
    clock,
    logger: { event: () => undefined },
    metrics: { report: () => undefined },
    eras: { onEvent: () => undefined },
    directory: { list: () => model.listed },
    tables: { current: () => ({ table: { routes: [readRoute()] } }) },
    format: {
      agreedOriginsKey: 'agreed',
      streamPrefix: 'streams/',
      serverPrefix: 'servers/',
      readServer: () => stored,
    },
    store: {
      get: (key: string) =>
        Promise.resolve(key === 'agreed' && value !== undefined ? { value, modRevision: '1' } : undefined),
      range: () => Promise.resolve({ entries: [{ key: 'servers/s2', value: '' }] }),
      txn: (_: unknown, [put]: readonly { readonly value: string }[]) => {
        value = put?.value;
        return Promise.resolve({ succeeded: true });
      },
    },
  } as unknown as StreamOriginsOptions;
  const host = createStreamOrigins(options);
  const self = { hostId: 'h0' };
  const other = { hostId: 'h1' };
  const advance = async (seconds: number): Promise<void> => {
    if (seconds > 0) {
      clock.advance(STEP_MS);
      await settle(SETTLE_TURNS);
      await advance(seconds - 1);
    }
  };
  model = {
    listed: [agreed],
    timeoutMs,
    isOwner: true,
    advance,
    findUnrecorded: () =>
      createStreamOrigins(options).find(readRoute() as unknown as Parameters<StreamOrigins['find']>[0], 'one'),
    close: () => host.close(),
  };
  host.putAgreed(known);
  host.start({ self, rankOwners: () => [model.isOwner ? self : other] } as unknown as Parameters<
    StreamOrigins['start']
  >[0]);
  return model;
}
