import { z } from 'zod';
import type { EngineOrder } from '@bergamotcove/decide';
import type { HttpClient, HttpRequest, Target } from '@bergamotcove/transport';
import BackendError from '../BackendError.js';

const STATUS_OK = 200;
const STATUS_CONFLICT = 409;

const orderSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('load-model'), model: z.string() }),
  z.object({ type: z.literal('load-version'), model: z.string(), version: z.string() }),
  z.object({ type: z.literal('load-adapter'), adapter: z.string() }),
  z.object({ type: z.literal('unload-model'), model: z.string() }),
  z.object({ type: z.literal('set-role'), role: z.enum(['mixed', 'prefill', 'decode']) }),
]);

const stateSchema = z.object({
  models: z.record(z.string(), z.string()),
  adapters: z.array(z.string()),
  role: z.enum(['mixed', 'prefill', 'decode']),
  loading: z.array(orderSchema),
});

const loadSchema = z.object({ running: z.number(), waiting: z.number().default(0) });

/** State and load of one engine: what it has loaded, the orders in progress, and its running and waiting requests. */
export interface EngineReport extends z.output<typeof stateSchema> {
  readonly openRequests: number;
}

/** Whether an engine accepted an order; `fenced` means that it has seen a higher fencing number. */
export type OrderResult = 'accepted' | 'fenced';

const fetchJson = async <Schema extends z.ZodType>(
  http: HttpClient,
  target: Target,
  request: HttpRequest,
  schema: Schema,
): Promise<z.output<Schema>> => {
  const response = await http.send(target, request);
  if (response.status !== STATUS_OK) {
    throw new BackendError('rejected', `the engine answered ${request.path} with status ${response.status}`);
  }
  try {
    return schema.parse(JSON.parse(response.body));
  } catch (cause) {
    throw new BackendError('invalid-answer', `the engine's answer to ${request.path} is invalid`, { cause });
  }
};

/**
 * Reads the state and the load of an engine.
 *
 * @param http - HTTP client
 * @param target - address of the engine
 * @param options - time limit
 * @returns its state and load
 * @throws TransportError when the engine does not answer, BackendError when it answers with an error or an invalid body
 */
export async function readEngine(
  http: HttpClient,
  target: Target,
  options: { readonly timeoutMs: number },
): Promise<EngineReport> {
  const signal = AbortSignal.timeout(options.timeoutMs);
  const [state, load] = await Promise.all([
    fetchJson(http, target, { method: 'GET', path: '/orders/state', signal }, stateSchema),
    fetchJson(http, target, { method: 'GET', path: '/load', signal }, loadSchema),
  ]);
  return { ...state, openRequests: load.running + load.waiting };
}

/**
 * Sends an order to an engine. An order names a desired state, so sending it twice has no further effect.
 *
 * @param http - HTTP client
 * @param target - address of the engine
 * @param order - the order with the fencing number of the planner's lease
 * @param options - time limit; `maySend` is called just before the first byte is sent, and false cancels the call
 * @returns whether the engine accepted the order
 * @throws TransportError or BackendError when it is unknown whether the engine accepted the order
 */
export async function sendOrder(
  http: HttpClient,
  target: Target,
  order: { readonly fencingNumber: number; readonly order: EngineOrder },
  options: { readonly timeoutMs: number; readonly maySend: () => boolean },
): Promise<OrderResult> {
  const response = await http.send(target, {
    method: 'POST',
    path: '/orders',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(order),
    signal: AbortSignal.timeout(options.timeoutMs),
    maySend: options.maySend,
  });
  if (response.status === STATUS_CONFLICT) {
    return 'fenced';
  }
  if (response.status !== STATUS_OK) {
    throw new BackendError('rejected', `the engine answered an order with status ${response.status}`);
  }
  return 'accepted';
}
