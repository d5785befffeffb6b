import type { DispatchAction } from '../startRun.js';
import type { DispatchContext } from '../types.js';

/** Estimated sizes of the messages of one attempt. */
export interface MessageBytes {
  readonly requestBytes: number;
  readonly replyBytes: number;
}

/** Size of the headers of a message. */
const HEADER_BYTES = 500;
/** Size of a streamed token with its event frame. */
const BYTES_PER_TOKEN = 100;

/** Estimates the bytes that an attempt sends and receives over a link between regions. */
export default function estimateBytes(action: DispatchAction, context: DispatchContext, tokens: number): MessageBytes {
  const input = JSON.stringify([context.callerInput ?? null, action.input ?? null]);
  const replyTokens = action.stage.kind === 'generate' ? tokens : 0;
  return {
    requestBytes: Buffer.byteLength(input) + HEADER_BYTES,
    replyBytes: HEADER_BYTES + replyTokens * BYTES_PER_TOKEN,
  };
}
