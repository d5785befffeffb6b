import { z } from 'zod';
import type { Clock } from '@bergamotcove/clock';
import { StatusReply } from '../_lib/serveJson.js';

const orderSchema = z.strictObject({
  /** Fencing number of the planner that sends the order. */
  fencingNumber: z.number(),
  order: z.discriminatedUnion('type', [
    z.strictObject({ type: z.literal('load-model'), model: z.string() }),
    z.strictObject({ type: z.literal('load-adapter'), adapter: z.string() }),
    z.strictObject({ type: z.literal('load-version'), model: z.string(), version: z.string() }),
    z.strictObject({ type: z.literal('unload-model'), model: z.string() }),
    z.strictObject({ type: z.literal('set-role'), role: z.enum(['mixed', 'prefill', 'decode']) }),
  ]),
});

type Order = z.output<typeof orderSchema>['order'];

/** Models, adapters and role of the engine, and progress of its orders. */
export interface OrdersState {
  readonly models: Readonly<Record<string, string>>;
  readonly adapters: readonly string[];
  readonly role: 'mixed' | 'prefill' | 'decode';
  readonly highestFencingNumber: number;
  /** Orders in progress. */
  readonly loading: readonly Order[];
  /** Number of orders completed so far. */
  readonly carriedOut: number;
}

/** Executes orders of the planner to an engine. */
export interface OrderExecutor {
  submit(body: unknown): Promise<unknown>;
  state(): OrdersState;
}

/** Options of {@link createOrderExecutor}. */
export interface OrderExecutorOptions {
  readonly clock: Clock;
  /** Whether orders with a fencing number below the highest one seen are rejected. */
  readonly checkFencing: boolean;
  readonly models: Readonly<Record<string, string>>;
  /** Fetches the weights; resolves when they are loaded. */
  readonly fetchWeights: (name: string) => Promise<void>;
}

const STATUS_CONFLICT = 409;
const DEFAULT_VERSION = '1';

const getWeightsName = (order: Order): string | undefined => {
  switch (order.type) {
    case 'load-model':
      return `${order.model}@${DEFAULT_VERSION}`;
    case 'load-version':
      return `${order.model}@${order.version}`;
    case 'load-adapter':
      return order.adapter;
    default:
      return undefined;
  }
};

const applyOrder = (state: OrdersState, order: Order): OrdersState => {
  switch (order.type) {
    case 'load-model':
      return { ...state, models: { ...state.models, [order.model]: DEFAULT_VERSION } };
    case 'load-version':
      return { ...state, models: { ...state.models, [order.model]: order.version } };
    case 'unload-model':
      return {
        ...state,
        models: Object.fromEntries(Object.entries(state.models).filter(([model]) => model !== order.model)),
      };
    case 'load-adapter':
      return { ...state, adapters: [...state.adapters.filter((other) => other !== order.adapter), order.adapter] };
    default:
      return { ...state, role: order.role };
  }
};

/**
 * Creates the order executor of an engine. Orders are accepted at once and executed in the background; the state lists
 * those in progress and counts those completed.
 *
 * @param options - clock, fencing check, initial models, fetch of weights
 * @returns the executor
 */
export default function createOrderExecutor(options: OrderExecutorOptions): OrderExecutor {
  let state: OrdersState = {
    models: options.models,
    adapters: [],
    role: 'mixed',
    highestFencingNumber: 0,
    loading: [],
    carriedOut: 0,
  };
  const execute = async (order: Order): Promise<void> => {
    state = { ...state, loading: [...state.loading, order] };
    const name = getWeightsName(order);
    try {
      if (name !== undefined) {
        await options.fetchWeights(name);
      }
      state = { ...applyOrder(state, order), carriedOut: state.carriedOut + 1 };
    } finally {
      state = { ...state, loading: state.loading.filter((other) => other !== order) };
    }
  };
  return {
    submit: async (body) => {
      const { fencingNumber, order } = orderSchema.parse(body);
      const { highestFencingNumber } = state;
      if (options.checkFencing && fencingNumber < highestFencingNumber) {
        return new StatusReply(STATUS_CONFLICT, { accepted: false, highestFencingNumber });
      }
      state = { ...state, highestFencingNumber: Math.max(highestFencingNumber, fencingNumber) };
      execute(order).catch(() => undefined);
      return { accepted: true };
    },
    state: () => state,
  };
}
