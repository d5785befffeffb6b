import type { DispatchAction } from '../startRun.js';
import type { DispatchContext } from '../types.js';

/** Estimated sizes of the messages of one attempt. */
export interface MessageBytes {
  readonly requestBytes: number;
  readonly replyBytes: number;
}

/** Headers of a message, and one streamed token with its event frame. */
const BYTES_PER_MESSAGE = 500;
const BYTES_PER_TOKEN = 100;

/** Estimates what an attempt sends over a link between regions and what comes back. */
export default function estimateBytes(action: DispatchAction, context: DispatchContext, tokens: number): MessageBytes {
  const input = JSON.stringify([context.callerInput ?? null, action.input ?? null]);
  const replyTokens = action.stage.kind === 'generate' ? tokens : 0;
  return {
    requestBytes: Buffer.byteLength(input) + BYTES_PER_MESSAGE,
    replyBytes: BYTES_PER_MESSAGE + replyTokens * BYTES_PER_TOKEN,
  };
}
