import { z } from 'zod';
import type { Clock } from '@bergamotcove/clock';
import { StatusReply } from '../_lib/serveJson.js';

const orderSchema = z.strictObject({
  /** Fencing number of the planner that gives the order. */
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

/** What the engine runs. */
export interface OrdersState {
  readonly models: Readonly<Record<string, string>>;
  readonly adapters: readonly string[];
  readonly role: 'mixed' | 'prefill' | 'decode';
  readonly highestFencingNumber: number;
  /** Orders in progress. */
  readonly loading: readonly Order[];
  /** Orders carried out so far. */
  readonly carriedOut: number;
}

/** Orders to an engine. */
export interface Orders {
  give(body: unknown): Promise<unknown>;
  state(): OrdersState;
}

/** Options of {@link createOrders}. */
export interface OrderOptions {
  readonly clock: Clock;
  /** Whether orders with an old fencing number are rejected. */
  readonly checkFencing: boolean;
  readonly models: Readonly<Record<string, string>>;
  /** Fetches weights; resolves when they are loaded. */
  readonly fetchWeights: (name: string) => Promise<void>;
}

const STATUS_CONFLICT = 409;
const DEFAULT_VERSION = '1';

const weightsName = (order: Order): string | undefined => {
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
 * Creates the orders of an engine. An order is carried out in the background; the state tells when it is done.
 *
 * @param options - fencing check and weights
 * @returns the orders
 */
export default function createOrders(options: OrderOptions): Orders {
  let state: OrdersState = {
    models: options.models,
    adapters: [],
    role: 'mixed',
    highestFencingNumber: 0,
    loading: [],
    carriedOut: 0,
  };
  const carryOut = async (order: Order): Promise<void> => {
    state = { ...state, loading: [...state.loading, order] };
    const name = weightsName(order);
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
    give: async (body) => {
      const { fencingNumber, order } = orderSchema.parse(body);
      const { highestFencingNumber } = state;
      if (options.checkFencing && fencingNumber < highestFencingNumber) {
        return new StatusReply(STATUS_CONFLICT, { accepted: false, highestFencingNumber });
      }
      state = { ...state, highestFencingNumber: Math.max(highestFencingNumber, fencingNumber) };
      carryOut(order).catch(() => undefined);
      return { accepted: true };
    },
    state: () => state,
  };
}
