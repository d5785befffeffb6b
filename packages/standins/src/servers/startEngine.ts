import { z } from 'zod';
import type { Clock } from '@bergamotcove/clock';
import { formatStreamEvent, type HttpExchange } from '@bergamotcove/transport';
import serveJson from '../_lib/serveJson.js';
import type { ListenOptions, Standin } from '../types.js';

/** Options of {@link startEngine}. */
export interface EngineOptions {
  readonly clock: Clock;
  readonly serverId: string;
  readonly tokenMs: number;
  readonly tokensPerAnswer: number;
}

const STATUS_OK = 200;

const bodySchema = z.object({
  model: z.string().optional(),
  prompt: z.string(),
  stream: z.literal(true),
  resume_token_index: z.int().min(0).default(0),
});

/**
 * Starts a stand-in of a model engine that streams completions as server-sent events. The text depends only on the
 * prompt, so that a stream resumed on another engine continues the same text.
 *
 * @param listen - address and port
 * @param options - speed and length of answers
 * @returns the running stand-in
 */
export default async function startEngine(listen: ListenOptions, options: EngineOptions): Promise<Standin> {
  const wait = (): Promise<void> =>
    new Promise((resolve) => {
      options.clock.schedule(options.tokenMs, resolve);
    });
  const complete = async (body: unknown, exchange: HttpExchange): Promise<undefined> => {
    const request = bodySchema.parse(body);
    const { response } = exchange;
    const id = String(exchange.request.headers['x-attempt-id']);
    const send = (index: number, text: string, finishReason: string | null): void => {
      const data = { id, token_index: index, choices: [{ index: 0, text, finish_reason: finishReason }] };
      response.write(formatStreamEvent({ event: 'message', data: JSON.stringify(data) }));
    };
    response.writeHead(STATUS_OK, { 'content-type': 'text/event-stream' });
    for (let index = request.resume_token_index; index < options.tokensPerAnswer; index += 1) {
      await wait();
      if (response.closed) {
        return undefined;
      }
      send(index, `token${index} `, null);
    }
    send(options.tokensPerAnswer, '', 'stop');
    response.end(formatStreamEvent({ event: 'message', data: '[DONE]' }));
    return undefined;
  };
  const server = await serveJson({ 'POST /v1/completions': complete }, listen);
  return { port: server.port, close: server.close };
}
