import type { Clock } from '@bergamotcove/clock';
import { formatStreamEvent, type HttpExchange } from '@bergamotcove/transport';
import findEcho from '../_lib/findEcho.js';
import type { ServerControls } from '../_lib/startFaultyServer.js';
import wait from '../_lib/wait.js';
import type { Observer, ServerPoint } from '../types.js';
import type { Batch } from './createBatch.js';

/** A generation to stream. */
export interface CompletionRequest {
  readonly attemptId: string;
  readonly requestId: string;
  readonly prompt: string;
  readonly priority: string;
  readonly resumeTokenIndex: number;
  readonly prefillTokens: number;
  /** Prompt tokens found in the prefix cache. */
  readonly cachedTokens: number;
}

/** State and options of the engine that a stream uses. */
export interface StreamContext {
  readonly options: {
    readonly clock: Clock;
    readonly serverId: string;
    readonly tokensPerAnswer: number;
    readonly observe?: Observer<ServerPoint>;
  };
  readonly batch: Batch;
  readonly controls: ServerControls;
  readonly sampleLoad: () => void;
}

const STATUS_OK = 200;
const PRIORITIES = ['money', 'booking', 'interactive', 'draft'];
const LENGTH_PATTERN = /\\*"outputTokens\\*":(\d+)/;

/** Formats the text of a token; it depends only on the prompt. */
const formatToken = (echo: string, index: number): string => (echo === '' ? `token${index} ` : `${echo}#${index} `);

/** Applies the faults that act within a stream; returns true when nothing more must be sent. */
const applyStreamFaults = async (
  context: StreamContext,
  exchange: HttpExchange,
  tokenIndex: number,
): Promise<boolean> => {
  const { faults, crash } = context.controls;
  const reached = (fault: { readonly atToken: number }): boolean => fault.atToken <= tokenIndex;
  const crashed = faults.take('crash-after', reached);
  if (crashed !== undefined) {
    crash(crashed.delayMs);
    return true;
  }
  if (faults.take('reset-after', reached) !== undefined) {
    exchange.request.socket.resetAndDestroy();
    return true;
  }
  if (faults.take('reply-lost', reached) !== undefined) {
    return true;
  }
  const late = faults.take('late', reached);
  if (late !== undefined) {
    await wait(context.options.clock, late.delayMs);
  }
  return false;
};

/** Creates the writer of the chunks of a stream, which applies the `swapped` and `duplicate` faults. */
const createChunkWriter = (request: CompletionRequest, exchange: HttpExchange, context: StreamContext) => {
  const { faults } = context.controls;
  const { response } = exchange;
  const write = (id: string, index: number, text: string, finishReason: string | null): void => {
    const data = { id, token_index: index, choices: [{ index: 0, text, finish_reason: finishReason }] };
    response.write(formatStreamEvent({ event: 'message', data: JSON.stringify(data) }));
  };
  return (index: number, text: string, finishReason: string | null): void => {
    const reached = (fault: { readonly atToken: number }): boolean => fault.atToken <= index;
    if (faults.take('swapped', reached) !== undefined) {
      const other = context.batch.ids().find((id) => id !== request.attemptId) ?? 'foreign.0';
      write(other, index, `${other}#${index} `, finishReason);
      return;
    }
    write(request.attemptId, index, text, finishReason);
    if (faults.take('duplicate', reached) !== undefined) {
      write(request.attemptId, index, text, finishReason);
    }
  };
};

/**
 * Streams a completion as server-sent events. When the connection closes, its sequence is removed from the batch.
 *
 * @param request - the generation to stream
 * @param exchange - HTTP request and response
 * @param context - options, batch, faults and load sampling of the engine
 */
export default function streamCompletion(
  request: CompletionRequest,
  exchange: HttpExchange,
  context: StreamContext,
): void {
  const { options, batch } = context;
  const { response } = exchange;
  const echo = findEcho(request.prompt);
  const tokenCount = Number(LENGTH_PATTERN.exec(request.prompt)?.[1] ?? options.tokensPerAnswer);
  const writeChunk = createChunkWriter(request, exchange, context);
  let ended = false;
  const sendToken = async (index: number): Promise<void> => {
    if (ended || response.closed) {
      return;
    }
    const point = { serverId: options.serverId, kind: 'generate', requestId: request.requestId, echo };
    await options.observe?.({ type: 'token', ...point, tokenIndex: index, tokenCount });
    ended = await applyStreamFaults(context, exchange, index);
    if (ended) {
      return;
    }
    if (index < tokenCount) {
      writeChunk(index, formatToken(echo, index), null);
    } else {
      writeChunk(index, '', 'stop');
      response.end(formatStreamEvent({ event: 'message', data: '[DONE]' }));
    }
  };
  // Each token waits for the one before, since the observer and the `late` fault delay single tokens.
  let sending = Promise.resolve();
  response.writeHead(STATUS_OK, {
    'content-type': 'text/event-stream',
    'x-cached-tokens': String(request.cachedTokens),
  });
  response.on('close', () => batch.cancel(request.attemptId));
  batch.add({
    id: request.attemptId,
    priority: PRIORITIES.includes(request.priority) ? PRIORITIES.indexOf(request.priority) : PRIORITIES.length,
    prefillTokens: request.prefillTokens,
    firstTokenIndex: Math.min(request.resumeTokenIndex, tokenCount),
    tokenCount,
    emit: (index) => {
      context.sampleLoad();
      sending = sending.then(() => sendToken(index));
    },
  });
  context.sampleLoad();
}
